package config

import "guavarail/core/model"

// The keys of the settings of a VM outside a cell, which docs/settings.md
// describes.
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
	// keyVMCallers is the address to which other VMs forward requests.
	keyVMCallers = optionalAddressKey("callers")
	keyDisk      = boolKey("disk")

	// The defaults for backend servers that do not announce their own numbers: at
	// both users of the system, a worker accepts 8 requests and 60 connections at
	// once.
	keySlotsPerWorker       = intKey("slotsPerWorker", 8, 1, 1000)
	keyConnectionsPerWorker = intKey("connectionsPerWorker", 60, 1, 10_000)

	keyCallerConnections = intKey("callerConnections", 10_000, 1, 1_000_000)
	keyTimelineEvents    = intKey("timelineEvents", 10_000, 100, 1_000_000)
	// The default is 30 s for the longest request and 5 s for the leadership
	// transfer.
	keyDrainSeconds = intKey("drainSeconds", 35, 1, 600)
)
