// Package shed decides which jobs a cell accepts when its capacity is short.
//
// A Controller forecasts from a View, which the scheduler fills from what it
// knows, when the open jobs and a new one will end. It refuses a new job if it
// would end after its objective, or if it would make accepted jobs of its
// priority end after theirs, and tells its caller when to return. It accepts
// whatever the forecast cannot judge.
//
// The forecast treats the room of the workers of a service as a fluid: the sum
// of what they have besides long-running tasks, over spans of time that grow
// with their distance. Open jobs take their part in scheduling order. The shape
// of tasks counts by the number of them that fit on the workers one by one.
//
// A Controller reads no clock, draws no random numbers and does no I/O. Only
// one goroutine may use it.
package shed
