package main

// Paths of the platform's calls that tests of the whole program send. A data centre follows
// pathCentreOut and pathCentreIn, a worker pathHeartbeat.
const (
	pathConfigure = "/Config.Replace"
	pathHeartbeat = "/Instances.Heartbeat/"
	pathCentreOut = "/Evacuations.Start/"
	pathCentreIn  = "/Evacuations.Finish/"
)
