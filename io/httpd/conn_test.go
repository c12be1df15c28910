package httpd

import (
	"io"
	"net"
	"testing"
	"time"
)

// expiringConn expires the connection around it after bytes were read and before that is
// known.
type expiringConn struct {
	net.Conn
	outer *conn
}

// Read implements net.Conn.
func (ec *expiringConn) Read(buf []byte) (int, error) {
	num, err := ec.Conn.Read(buf)
	ec.outer.expire()
	return num, err
}

// Guards against a request that is answered with 400 because the server stops just as
// its first bytes are read, so that the rest of it is not read any more.
func TestRequestIsReadWhoseFirstBytesArriveAtTheStop(t *testing.T) {
	near, far := net.Pipe()
	con := &conn{awaiting: true, release: func() {}}
	con.Conn = &expiringConn{Conn: near, outer: con}
	if err := con.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(far, "whole") }()
	buf := make([]byte, 5)
	if num, err := con.Read(buf[:2]); err != nil {
		t.Fatalf("first read: %d bytes, %v", num, err)
	}
	if num, err := io.ReadFull(con, buf[2:]); err != nil || string(buf) != "whole" {
		t.Errorf("rest: %d bytes, %v, %q read", num, err, buf)
	}
}
