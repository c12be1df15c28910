// Package busy watches the processor time of the process.
package busy
