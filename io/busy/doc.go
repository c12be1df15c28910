// Package busy watches the processor time of the process. A process that holds the
// processor without doing work for it logs a line with the goroutine that ran.
package busy
