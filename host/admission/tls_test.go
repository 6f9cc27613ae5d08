package admission

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"gooseberrypond/host/arrival"
)

// Guards against connections with TLS that are not counted, or of which it is not known
// whether their callers still wait.
func TestConnectionsWithTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, port: NewPort("test", Limits{Connections: 10, RequestBytes: 1 << 20}, zerolog.Nop())}
	during := make(chan int64, 1)
	srv := &http.Server{ConnContext: arrival.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, testBodyLimit); err != nil || arrival.CallerGone(r.Context()) {
			t.Errorf("error %v, caller gone %v", err, arrival.CallerGone(r.Context()))
		}
		during <- s.held()
	})}
	go Serve(srv, tls.NewListener(s.port.Listener(ln), &tls.Config{Certificates: certified.TLS.Certificates}))
	defer srv.Close()
	resp, err := certified.Client().Post("https://"+ln.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 100<<10)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if n := <-during; n < 100<<10-freeBytes {
		t.Errorf("%d bytes are counted for a body of %d", n, 100<<10)
	}
	waitUntil(t, "the connection is idle and holds nothing", func() bool { return s.open(idle) == 1 && s.held() == 0 })
}
