package serve

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// Guards against addresses in the log that a VM does not have.
func TestServingNamesOnlyTheAddressesInUse(t *testing.T) {
	var out bytes.Buffer
	logServing(hclog.New(&hclog.LoggerOptions{Output: &out}), netip.AddrPort{}, netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:7002"))
	if text := out.String(); !strings.Contains(text, "serving: api=127.0.0.1:7001 peers=127.0.0.1:7002\n") {
		t.Errorf("logged %q", text)
	}
}
