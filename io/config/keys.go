package config

import "guavarail/core/model"

// The keys. docs/settings.md describes them.
var (
	keyName     = nameKey[model.VMID]("name")
	keyCentre   = nameKey[model.CentreID]("centre")
	keyRegion   = nameKey[string]("region")
	keyDataDir  = dirKey("dataDir")
	keyLogLevel = levelKey("logLevel")

	keyCallers = addressKey("callers")
	keyAPI     = addressKey("api")
	keyPeers   = addressKey("peers")

	keyPeer = addressKey("peer")
	// keyVMCallers is where other data centres forward requests to.
	keyVMCallers = optionalAddressKey("callers")
	keyDisk      = boolKey("disk")

	// 8 slots and 60 connections are what a worker of both users accepts.
	keySlots       = intKey("slotsPerWorker", 8, 1, 1000)
	keyConnections = intKey("connectionsPerWorker", 60, 1, 10_000)

	keyCallerConnections = intKey("callerConnections", 10_000, 1, 1_000_000)
	keyTimeline          = intKey("timelineEvents", 10_000, 100, 1_000_000)
	// The maximum request time of 30 s, and 5 s for handing over leadership.
	keyDrain = intKey("drainSeconds", 35, 1, 600)
)
