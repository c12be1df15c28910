package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards against a hello message whose data centre is lost on the way.
func TestHelloKeepsTheDataCentre(t *testing.T) {
	buf, err := proto.Marshal(&CellHello{Vm: "a", Disk: "disk", Centre: "riga-a"})
	if err != nil {
		t.Fatal(err)
	}
	var hel CellHello
	if err := proto.Unmarshal(buf, &hel); err != nil || hel.GetVm() != "a" || hel.GetDisk() != "disk" || hel.GetCentre() != "riga-a" {
		t.Errorf("hello %v, error %v", &hel, err)
	}
}
