package wire

import (
	"time"

	"guavarail/core/model"
	"guavarail/core/route"
)

// BackendToProto returns the message for the announcement of a backend server; age is the
// time since this VM received it. It is rounded down to milliseconds.
func BackendToProto(ba route.Backend, age time.Duration) *BackendAnnouncement {
	return &BackendAnnouncement{
		Backend: string(ba.ID()), Service: string(ba.Service()), Worker: string(ba.Worker()), Address: ba.Address(),
		Slots: uint32(ba.Slots()), Connections: uint32(ba.Connections()), Incarnation: ba.Incarnation(),
		AgeMs: uint32(age.Milliseconds()),
	}
}

// BackendFromProto returns the backend server that msg announces and the age of the
// announcement.
func BackendFromProto(msg *BackendAnnouncement) (route.Backend, time.Duration) {
	return route.NewBackend(route.BackendSpec{
		ID: model.BackendID(msg.GetBackend()), Service: model.ServiceID(msg.GetService()),
		Worker: model.WorkerID(msg.GetWorker()), Address: msg.GetAddress(), Slots: int(msg.GetSlots()),
		Connections: int(msg.GetConnections()), Incarnation: msg.GetIncarnation(),
	}), time.Duration(msg.GetAgeMs()) * time.Millisecond
}
