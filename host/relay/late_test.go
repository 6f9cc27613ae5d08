package relay

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/dispatch"
	"gooseberrypond/host/admission"
	"gooseberrypond/host/dispatcher"
)

// Guards against a control host that stood still and carries out calls from connections
// that were closed meanwhile: the host that sent them has told its caller something else.
func TestCallsOfAClosedConnectionAreNotExecuted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	port := admission.NewPort("relay", admission.Limits{Connections: 10, RequestBytes: 1 << 20, MessageBytes: 1 << 20}, zerolog.Nop())
	ln = port.Listener(ln)
	d := dispatcher.New(dispatcher.Config{Logger: zerolog.Nop(), Limits: dispatch.Limits{LeaseMax: time.Second}})
	s := &Server{d: d, port: port, group: restartedGroup{}, logger: zerolog.Nop()}
	read := func(close bool) (err error) {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client := rpc.NewClient(c)
		defer client.Close()
		reply := new(Reply)
		call := client.Go(serviceName+".SetDomain", &DomainArgs{Name: "z"}, reply, make(chan *rpc.Call, 1))
		if close {
			client.Close()
		}
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if close {
			time.Sleep(20 * time.Millisecond)
			v := &service{s, conn}
			return v.serve("SetDomain", &DomainArgs{Name: "z"}, reply)
		}
		go s.serveConn(conn)
		<-call.Done
		if call.Error == nil && reply.Code != dispatcher.NotLeader {
			t.Errorf("answered %s, want not leader", reply.Code)
		}
		return call.Error
	}
	if err := read(false); err != nil {
		t.Errorf("call on an open connection: %v", err)
	}
	if read(true) == nil {
		t.Error("a call was executed although its connection was closed before")
	}
}
