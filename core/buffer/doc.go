// Package buffer decides how much memory the connections of a process may hold for
// requests that arrive, wait or are served. It decides who gets memory, who waits, who is
// refused, and which connection is closed to make room.
//
// Each class of clients has a part of the memory that the others cannot take. Room is made
// within the class that needs it: a flood of clients takes memory from itself. Those that
// have not finished sending are closed first, in the order in which they last got more
// memory, so that a connection that stalls goes before one that makes progress.
package buffer
