package worker

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that callers of the backend server use.
const (
	// HeaderID names the request; the whole response repeats it.
	HeaderID = "Request-Id"
	// HeaderWork is the time that the request takes in milliseconds.
	HeaderWork = "Fake-Work-Ms"
	// HeaderSize is the size of the response in bytes.
	HeaderSize = "Fake-Size"
)

// headerNotRun is the header of section 6.1 of the design page with which a
// backend server confirms that it did not run a request.
const headerNotRun = "Guavarail-Not-Run"

// maxReply and maxWork bound what a caller can ask for.
const (
	maxReply = 8 << 20
	maxWork  = time.Minute
)

// ResponseBody returns the whole body of the response to the request id: size bytes,
// but at least one line with the id.
func ResponseBody(id string, size int) string {
	line := id + "\n"
	num := max(1, min(size, maxReply)/len(line))
	return strings.Repeat(line, num)
}

// wish is what a request asks of the fake.
type wish struct {
	id   string
	work time.Duration
	size int
}

func readWish(req *http.Request) wish {
	num := func(key string) int {
		val, _ := strconv.Atoi(req.Header.Get(key))
		return max(0, val)
	}
	return wish{
		id:   req.Header.Get(HeaderID),
		work: min(maxWork, time.Duration(num(HeaderWork))*time.Millisecond),
		size: num(HeaderSize),
	}
}
