package wire

import (
	"google.golang.org/protobuf/proto"

	"guavarail/core/centre"
)

// CentreCommands is the codec of the commands of a data centre group, which is the
// replication group of one data centre's VMs.
type CentreCommands struct{}

var _ Codec[centre.Command] = CentreCommands{}

// Encode implements Codec.
func (CentreCommands) Encode(cmd centre.Command) ([]byte, error) {
	rec := &CentreRecord{}
	var err error
	if claim, ok := cmd.Claim(); ok {
		rec.IsClaim = true
		rec.Claims, err = OnceCommands{}.Encode(claim)
	} else {
		tasks, _ := cmd.Tasks()
		rec.Tasks, err = SchedCommands{}.Encode(tasks)
	}
	if err != nil {
		return nil, err
	}
	return proto.Marshal(rec)
}

// Decode implements Codec.
func (CentreCommands) Decode(buf []byte) (centre.Command, error) {
	rec := &CentreRecord{}
	if err := proto.Unmarshal(buf, rec); err != nil {
		return centre.Command{}, err
	}
	if rec.GetIsClaim() {
		claim, err := OnceCommands{}.Decode(rec.GetClaims())
		return centre.Claim(claim), err
	}
	tasks, err := SchedCommands{}.Decode(rec.GetTasks())
	return centre.Tasks(tasks), err
}

// CentreSnapshots is the codec of the snapshots of a data centre group.
type CentreSnapshots struct{}

var _ Codec[centre.Snapshot] = CentreSnapshots{}

// Encode implements Codec.
func (CentreSnapshots) Encode(snap centre.Snapshot) ([]byte, error) {
	tasks, err := SchedSnapshots{}.Encode(snap.Tasks())
	if err != nil {
		return nil, err
	}
	claims, err := OnceSnapshots{}.Encode(snap.Claims())
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&CentreRecord{Tasks: tasks, Claims: claims})
}

// Decode implements Codec.
func (CentreSnapshots) Decode(buf []byte) (centre.Snapshot, error) {
	rec := &CentreRecord{}
	if err := proto.Unmarshal(buf, rec); err != nil {
		return centre.Snapshot{}, err
	}
	tasks, err := SchedSnapshots{}.Decode(rec.GetTasks())
	if err != nil {
		return centre.Snapshot{}, err
	}
	claims, err := OnceSnapshots{}.Decode(rec.GetClaims())
	return centre.NewSnapshot(tasks, claims), err
}
