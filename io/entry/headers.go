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

// Headers of the request path.
const (
	// HeaderOutcome is in every response to a caller.
	HeaderOutcome = "Guavarail-Outcome"
	// HeaderNotRun is "true" in a response with status 503 by which a backend
	// server reports that it did not run the request.
	HeaderNotRun = "Guavarail-Not-Run"
	// HeaderDeadline is the time in milliseconds, counted from the arrival of the
	// request, after which the caller stops waiting for the response to start.
	HeaderDeadline = "Guavarail-Deadline-Ms"
	// HeaderService names the service; the default is the first path element.
	HeaderService = "Guavarail-Service"
	// HeaderCaller names the caller for fair queueing; the default is its IP
	// address.
	HeaderCaller = "Guavarail-Caller"
	// HeaderIdempotent is "false" for a request that must run at most once,
	// although its method is idempotent.
	HeaderIdempotent = "Guavarail-Idempotent"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyState is the state of the claim in the response to a request whose
	// key another request has claimed.
	HeaderKeyState = "Guavarail-Key-State"
	// HeaderCentres lists the data centres that forwarded the request, separated by
	// commas.
	HeaderCentres = "Guavarail-Centres"
	// HeaderClaimant is the owner that an entry VM claimed the key for, in a
	// request that it forwards to another entry VM.
	HeaderClaimant = "Guavarail-Claimant"
)

// Values of HeaderOutcome.
const (
	// OutcomeAnswered means that a backend server ran the request.
	OutcomeAnswered = "answered"
	// OutcomeNotRun means that the request was certainly not run.
	OutcomeNotRun = "notRun"
	// OutcomeUnknown means that the request may or may not have been run.
	OutcomeUnknown = "unknown"
)

// maxTimeoutMs caps the value of HeaderDeadline at one hour, in milliseconds. The
// limit prevents an overflow in the conversion to a duration.
const maxTimeoutMs = 3_600_000

// maxClaimantBytes bounds the length of HeaderClaimant.
const maxClaimantBytes = 128

// maxKeyBytes bounds the length of an idempotency key, since all claims are stored
// in memory.
const maxKeyBytes = 255

// hopHeaders are the hop-by-hop headers, which concern one connection only and
// are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// meta is the part of the headers of a request that affects how it is handled.
type meta struct {
	service model.ServiceID
	caller  string
	// timeout is the value of HeaderDeadline, at least 1 ns; 0 if the caller set none.
	timeout    time.Duration
	idempotent bool
	// key is the service and the idempotency key; empty if the request has no
	// idempotency key.
	key string
	// claimant is the value of HeaderClaimant in a forwarded request; empty if it
	// has none.
	claimant string
	// traversed lists the data centres that forwarded the request.
	traversed []model.CentreID
	// badHeader names a header with an invalid value; empty if there is none.
	badHeader string
}

// parseMeta parses the headers of a request. validate rejects the request if badHeader
// is set.
func parseMeta(req *http.Request) meta {
	me := meta{service: serviceOf(req), caller: callerOf(req)}
	if val := req.Header.Get(HeaderDeadline); val != "" {
		num, err := strconv.ParseInt(val, 10, 64)
		if err != nil || num < 0 {
			me.badHeader = HeaderDeadline
		}
		// A deadline of 0 has already expired, but a timeout of 0 means the
		// default. The shortest timeout is used instead.
		me.timeout = max(time.Duration(min(num, maxTimeoutMs))*time.Millisecond, 1)
	}
	me.idempotent = idempotent(req.Method) && !strings.EqualFold(req.Header.Get(HeaderIdempotent), "false")
	if key := req.Header.Get(HeaderKey); key != "" {
		if len(key) > maxKeyBytes {
			me.badHeader = HeaderKey
		}
		me.key = string(me.service) + "/" + key
	}
	for _, name := range strings.Split(req.Header.Get(HeaderCentres), ",") {
		if name = strings.TrimSpace(name); name != "" {
			me.traversed = append(me.traversed, model.CentreID(name))
		}
	}
	if name := req.Header.Get(HeaderClaimant); len(me.traversed) > 0 && len(name) <= maxClaimantBytes {
		me.claimant = name
	}
	return me
}

// serviceOf returns the service from HeaderService or else from the first
// element of the path.
func serviceOf(req *http.Request) model.ServiceID {
	if name := req.Header.Get(HeaderService); name != "" {
		return model.ServiceID(name)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	return model.ServiceID(name)
}

// callerOf returns the caller from HeaderCaller or else its IP address.
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

// idempotent reports whether requests with the method are idempotent unless
// HeaderIdempotent says otherwise.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// upgradeProtocol returns the protocol that the headers switch to, or "" if they
// request no upgrade.
func upgradeProtocol(hdr http.Header) string {
	for _, val := range hdr["Connection"] {
		for _, token := range strings.Split(val, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "Upgrade") {
				return hdr.Get("Upgrade")
			}
		}
	}
	return ""
}

// copyHeaders copies the end-to-end headers. Hop-by-hop headers are left out,
// except those of an upgrade and "Te: trailers".
func copyHeaders(dst, src http.Header) {
	upgrade := upgradeProtocol(src)
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

// outgoingHeaders returns the headers of the request that is sent on. remaining
// is the time until its deadline.
func outgoingHeaders(req *http.Request, remaining time.Duration) http.Header {
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
		// An empty value prevents the transport from adding a User-Agent of its own.
		hdr["User-Agent"] = []string{""}
	}
	return hdr
}

// keyOutcome returns the outcome to report for a duplicate of the request whose
// claim is in state st.
func keyOutcome(st once.State) string {
	if st == once.Answered {
		return OutcomeAnswered
	}
	return OutcomeUnknown
}
