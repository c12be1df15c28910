package main

import (
	"fmt"
	"os"
)

// Results of a case, which are exit codes.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases are the script cases by number.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"leave": leaveCase,
	"odd":   oddCase,
	"ids":   idCase,
	"last":  lastCase,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(cantRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cantRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	result, err := play(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	rec.printf("result %d", result)
	os.Exit(result)
}
