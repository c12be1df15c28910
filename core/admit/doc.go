// Package admit orders the inputs that wait for an owner that handles them one at a
// time, and drops those that need not be handled: reports that a newer report of the
// same sender covers, and calls that cannot be answered before their deadline. The
// owner carries out what the queue decides.
package admit
