package entry

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a caller that sends the headers of a forwarded request and thereby
// runs a second request with the same idempotency key. Of the requests with one key,
// at most one may run (P7).
func TestForgedForwardDoesNotSkipTheClaim(t *testing.T) {
	runs := make(chan struct{}, 100)
	ha := newHarness(t, func(cfg *Config) { cfg.Claims = &localClaims{} })
	ha.addBackend(t, 0, func(http.ResponseWriter, *http.Request) { runs <- struct{}{} })
	// The first request is a normal one. The others have the headers of a forwarded
	// request, without and with a claimant.
	for i, claimant := range []string{"", "", "forged"} {
		req, _ := http.NewRequest(http.MethodPost, ha.url, strings.NewReader("order"))
		req.Header.Set(HeaderKey, "k-1")
		if i > 0 {
			req.Header.Set(HeaderCentres, "elsewhere")
			req.Header.Set(HeaderClaimant, claimant)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if want := map[bool]int{true: http.StatusOK, false: http.StatusConflict}[i == 0]; resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
	}
	if len(runs) != 1 {
		t.Errorf("requests with the same key ran %d times, want once", len(runs))
	}
}
