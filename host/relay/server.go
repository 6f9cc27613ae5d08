package relay

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/core/graph"
	"gooseberrypond/host/admission"
	"gooseberrypond/host/arrival"
	"gooseberrypond/host/dispatcher"
)

// Group gives the server access to the group of control hosts.
type Group interface {
	Info() Info
	Join(ctx context.Context, id, address string) error
	Leave(ctx context.Context, id string) error
}

// callTimeout bounds the time to handle one call.
const callTimeout = 5 * time.Second

// Server answers calls from other hosts.
type Server struct {
	d      *dispatcher.Dispatcher
	group  Group
	port   *admission.Port
	logger zerolog.Logger
	ln     net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Serve listens on address and answers calls until Close. port bounds what they take.
func Serve(address string, port *admission.Port, d *dispatcher.Dispatcher, group Group, logger zerolog.Logger) (*Server, error) {
	ln, err := port.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "calls of other hosts")
	}
	s := &Server{d: d, group: group, port: port, logger: logger, ln: ln, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			s.logger.Error().Err(err).Str("step", "accept").Msg("accepting a connection failed; retrying")
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serveConn(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// serveConn answers the calls on a connection until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{s, conn}); err != nil {
		s.logger.Error().Err(err).Str("step", "register control service").Msg("connection closed: its calls cannot be served")
		conn.Close()
		return
	}
	s.port.ServeRPC(srv, conn)
}

// acceptRetryInterval is the delay after a failed accept. It keeps a persistent
// failure, such as a lack of file descriptors, from becoming a busy loop.
const acceptRetryInterval = 50 * time.Millisecond

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	return s.ln.Close()
}

// service is the net/rpc receiver of one connection.
type service struct {
	s    *Server
	conn net.Conn
}

// setReply fills the reply. If this host is not the leader, it adds the leader's
// address.
func (v *service) setReply(a dispatcher.Answer, r *Reply) error {
	r.Answer = a
	if a.Code == dispatcher.NotLeader {
		r.Leader = v.s.group.Info().Leader
	}
	return nil
}

// Info returns this host's view of the group.
func (v *service) Info(_ *None, r *Info) error {
	*r = v.s.group.Info()
	return nil
}

// Join adds a replica to the group.
func (v *service) Join(a *JoinArgs, _ *None) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return v.s.group.Join(ctx, a.ID, a.Address)
}

// LeaveGroup tells the leader that the host of a replica stops.
func (v *service) LeaveGroup(a *LeaveGroupArgs, _ *None) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return v.s.group.Leave(ctx, a.ID)
}

// Submit accepts a job.
func (v *service) Submit(a *JobArgs, r *Reply) error { return v.serve("Submit", a, r) }

// Cancel cancels a job.
func (v *service) Cancel(a *JobArgs, r *Reply) error { return v.serve("Cancel", a, r) }

// Look returns the state of a job, or the number of pending jobs of a queue.
func (v *service) Look(a *JobArgs, r *Reply) error { return v.serve("Look", a, r) }

// PutConfig commits a configuration.
func (v *service) PutConfig(a *ConfigArgs, r *Reply) error { return v.serve("PutConfig", a, r) }

// GetConfig returns the committed configuration.
func (v *service) GetConfig(a *None, r *Reply) error { return v.serve("GetConfig", a, r) }

// SetDomain takes a failure domain out of service or brings it back.
func (v *service) SetDomain(a *DomainArgs, r *Reply) error { return v.serve("SetDomain", a, r) }

// Leave handles a worker's notice that it has left.
func (v *service) Leave(a *LeaveArgs, r *Reply) error { return v.serve("Leave", a, r) }

// Beats handles the heartbeat reports of several workers.
func (v *service) Beats(a *BeatsArgs, r *Reply) error { return v.serve("Beats", a, r) }

// serve executes a call of another host. One whose host has closed the connection is not
// executed: this process has read it late, and the host has given its caller another
// answer or has sent the call to another leader.
func (v *service) serve(method string, args any, r *Reply) error {
	if arrival.PeerGone(v.conn) {
		v.s.logger.Info().Str("call", method).Str("peer", v.conn.RemoteAddr().String()).Msg("call ignored: its host has closed the connection")
		return errors.Newf("call %s: the connection was closed before the call was read", method)
	}
	a, err := v.s.execute(context.Background(), method, args)
	if err != nil {
		return err
	}
	return v.setReply(a, r)
}

// execute runs a method that only the leader can execute. A panic ends the call, not
// the process; whether the call took effect is then unknown.
func (s *Server) execute(ctx context.Context, method string, args any) (a dispatcher.Answer, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.d.CountPanic("relay."+method, p)
			err = errors.Newf("call %s failed: %v", method, p)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := args.(type) {
	case *JobArgs:
		switch method {
		case "Submit":
			return s.d.Caller(a.Key).Submit(ctx, a.Host, a.Path, a.Spec), nil
		case "Cancel":
			return s.d.Caller(a.Key).Cancel(ctx, a.Host, a.Path), nil
		case "Look":
			return s.d.Caller(a.Key).Look(a.Host, a.Path), nil
		}
	case *ConfigArgs:
		return s.d.PutConfig(ctx, &a.Config), nil
	case *DomainArgs:
		return s.d.ChangeDomain(ctx, graph.DomainChange{Name: a.Name, Out: a.Out}, a.Seen), nil
	case *LeaveArgs:
		return s.d.Leave(ctx, a.ID), nil
	case *BeatsArgs:
		return s.d.Beats(ctx, a.Reports), nil
	case *None:
		return s.d.GetConfig(ctx), nil
	}
	return dispatcher.Answer{}, errors.Newf("call %s is unknown", method)
}
