package entry

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
)

// The headers of the request path.
const (
	HeaderOutcome    = "Guavarail-Outcome"
	HeaderNotRun     = "Guavarail-Not-Run"
	HeaderDeadline   = "Guavarail-Deadline-Ms"
	HeaderService    = "Guavarail-Service"
	HeaderCaller     = "Guavarail-Caller"
	HeaderIdempotent = "Guavarail-Idempotent"
	HeaderKey        = "Idempotency-Key"
	HeaderKeyState   = "Guavarail-Key-State"
	HeaderCentres    = "Guavarail-Centres"
	// HeaderClaimant names the request that claimed the key, between entry VMs.
	HeaderClaimant = "Guavarail-Claimant"
)

// The values of HeaderOutcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
)

// maxTimeoutMs keeps the conversion to a duration from overflowing.
const maxTimeoutMs = 3_600_000

// maxClaimant bounds the length of the name of a claim.
const maxClaimant = 128

// maxKey bounds the length of an idempotency key, since all claims are held in
// memory.
const maxKey = 255

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// meta is what the headers of a request say about its handling.
type meta struct {
	service model.ServiceID
	caller  string
	// timeout is zero when the caller gave none.
	timeout    time.Duration
	idempotent bool
	// key is the idempotency key with its service; empty when there is none.
	key string
	// claimant is set in a forwarded request whose key was claimed before.
	claimant  string
	traversed []model.CentreID
	// fault names the header that cannot be used.
	fault string
}

func parseMeta(req *http.Request) meta {
	me := meta{service: serviceOf(req), caller: callerOf(req)}
	if val := req.Header.Get(HeaderDeadline); val != "" {
		num, err := strconv.ParseInt(val, 10, 64)
		if err != nil || num < 0 {
			me.fault = HeaderDeadline
		}
		// A deadline of 0 is over; the zero timeout would mean the default.
		me.timeout = max(time.Duration(min(num, maxTimeoutMs))*time.Millisecond, 1)
	}
	me.idempotent = idempotent(req.Method) && !strings.EqualFold(req.Header.Get(HeaderIdempotent), "false")
	if key := req.Header.Get(HeaderKey); key != "" {
		if len(key) > maxKey {
			me.fault = HeaderKey
		}
		me.key = string(me.service) + "/" + key
	}
	for _, name := range strings.Split(req.Header.Get(HeaderCentres), ",") {
		if name = strings.TrimSpace(name); name != "" {
			me.traversed = append(me.traversed, model.CentreID(name))
		}
	}
	if name := req.Header.Get(HeaderClaimant); len(me.traversed) > 0 && len(name) <= maxClaimant {
		me.claimant = name
	}
	return me
}

func serviceOf(req *http.Request) model.ServiceID {
	if name := req.Header.Get(HeaderService); name != "" {
		return model.ServiceID(name)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	return model.ServiceID(name)
}

func callerOf(req *http.Request) string {
	if name := req.Header.Get(HeaderCaller); name != "" {
		return name
	}
	name, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return req.RemoteAddr
	}
	return name
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// upgradeOf returns the protocol that a message switches to, or nothing.
func upgradeOf(hdr http.Header) string {
	for _, val := range hdr["Connection"] {
		for _, token := range strings.Split(val, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "Upgrade") {
				return hdr.Get("Upgrade")
			}
		}
	}
	return ""
}

// copyHeaders copies what is passed on. With the exception of an upgrade,
// headers of the connection are left out.
func copyHeaders(dst, src http.Header) {
	upgrade := upgradeOf(src)
	for name, vals := range src {
		if !slices.Contains(hopHeaders, name) {
			dst[name] = vals
		}
	}
	for _, val := range src["Connection"] {
		for _, token := range strings.Split(val, ",") {
			if token = textproto.TrimString(token); token != "" {
				dst.Del(token)
			}
		}
	}
	if slices.Contains(src["Te"], "trailers") {
		dst["Te"] = []string{"trailers"}
	}
	if upgrade != "" {
		dst["Connection"] = []string{"Upgrade"}
		dst["Upgrade"] = []string{upgrade}
	}
}

// outgoing returns the headers of the request to a backend server.
func outgoing(req *http.Request, remaining time.Duration) http.Header {
	hdr := make(http.Header, len(req.Header)+3)
	copyHeaders(hdr, req.Header)
	delete(hdr, HeaderClaimant)
	hdr[HeaderDeadline] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
	if name, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		if prior := req.Header["X-Forwarded-For"]; len(prior) > 0 {
			name = strings.Join(prior, ", ") + ", " + name
		}
		hdr["X-Forwarded-For"] = []string{name}
	}
	if _, ok := hdr["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		hdr["User-Agent"] = []string{""}
	}
	return hdr
}

// keyOutcome is the outcome of the request that holds a claim.
func keyOutcome(st once.State) string {
	if st == once.Answered {
		return OutcomeAnswered
	}
	return OutcomeUnknown
}
