package worker

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request headers that the backend server reads.
const (
	// HeaderID is the id of the request; every line of the response repeats it.
	HeaderID = "Request-Id"
	// HeaderWork is the run time of the request in milliseconds.
	HeaderWork = "Fake-Work-Ms"
	// HeaderSize is the size of the response in bytes.
	HeaderSize = "Fake-Size"
)

// headerNotRun is the response header with which a backend server confirms, by the
// value true, that it did not run the request.
const headerNotRun = "Guavarail-Not-Run"

const (
	// maxBodyBytes limits the size of a response, and how much of a request body
	// is read.
	maxBodyBytes = 8 << 20
	// maxWork limits the run time of a request.
	maxWork = time.Minute
)

// ResponseBody returns the complete response body for the request id: as many
// lines with the id as fit in size bytes, at least one.
func ResponseBody(id string, size int) string {
	line := id + "\n"
	num := max(1, min(size, maxBodyBytes)/len(line))
	return strings.Repeat(line, num)
}

// requestParams are the parameters of a request, from its headers.
type requestParams struct {
	id   string
	work time.Duration
	size int
}

func readParams(req *http.Request) requestParams {
	num := func(key string) int {
		val, _ := strconv.Atoi(req.Header.Get(key))
		return max(0, val)
	}
	return requestParams{
		id:   req.Header.Get(HeaderID),
		work: min(maxWork, time.Duration(num(HeaderWork))*time.Millisecond),
		size: num(HeaderSize),
	}
}
