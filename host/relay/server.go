package relay

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
)

// Group is what the server needs of the group of control hosts.
type Group interface {
	Info() Info
	Join(ctx context.Context, id, address string) error
}

// callLimit bounds the work on one call.
const callLimit = 5 * time.Second

// Server answers calls from other hosts.
type Server struct {
	d      *dispatcher.Dispatcher
	group  Group
	logger zerolog.Logger
	ln     net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Serve listens on address and answers calls until Close.
func Serve(address string, d *dispatcher.Dispatcher, group Group, logger zerolog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for calls on %s", address)
	}
	s := &Server{d: d, group: group, logger: logger, ln: ln, conns: map[net.Conn]struct{}{}}
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{s}); err != nil {
		ln.Close()
		return nil, errors.Wrap(err, "register control service")
	}
	go s.accept(srv)
	return s, nil
}

func (s *Server) accept(srv *rpc.Server) {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			s.logger.Error().Err(err).Str("step", "accept").Msg("relay server")
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			srv.ServeConn(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// acceptPause keeps a lasting failure, such as a want of descriptors, from
// taking the processor.
const acceptPause = 50 * time.Millisecond

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

// service is the net/rpc receiver.
type service struct{ s *Server }

func (v *service) lead(a dispatcher.Answer, r *Reply) error {
	r.Answer = a
	if a.Code == dispatcher.NotLeader {
		r.Leader = v.s.group.Info().Leader
	}
	return nil
}

func limited() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callLimit)
}

// Info answers what this host knows of the group.
func (v *service) Info(_ *None, r *Info) error {
	*r = v.s.group.Info()
	return nil
}

// Join adds a replica to the group.
func (v *service) Join(a *JoinArgs, _ *None) error {
	ctx, cancel := limited()
	defer cancel()
	return v.s.group.Join(ctx, a.ID, a.Address)
}

// Submit accepts a job.
func (v *service) Submit(a *JobArgs, r *Reply) error {
	ctx, cancel := limited()
	defer cancel()
	return v.lead(v.s.d.Submit(ctx, a.Host, a.Path, a.Spec), r)
}

// Cancel cancels a job.
func (v *service) Cancel(a *JobArgs, r *Reply) error {
	ctx, cancel := limited()
	defer cancel()
	return v.lead(v.s.d.Cancel(ctx, a.Host, a.Path), r)
}

// Look returns the state of a job or queue.
func (v *service) Look(a *JobArgs, r *Reply) error {
	return v.lead(v.s.d.Look(a.Host, a.Path), r)
}

// PutConfig puts a configuration in force.
func (v *service) PutConfig(a *ConfigArgs, r *Reply) error {
	ctx, cancel := limited()
	defer cancel()
	return v.lead(v.s.d.PutConfig(ctx, &a.Config), r)
}

// GetConfig returns the configuration in force.
func (v *service) GetConfig(_ *None, r *Reply) error {
	return v.lead(v.s.d.GetConfig(), r)
}

// SetDomain takes a failure domain out of service or brings it back.
func (v *service) SetDomain(a *DomainArgs, r *Reply) error {
	ctx, cancel := limited()
	defer cancel()
	return v.lead(v.s.d.SetDomain(ctx, a.Name, a.Out), r)
}

// Beat takes a worker's report of itself.
func (v *service) Beat(a *BeatArgs, r *Reply) error {
	ctx, cancel := limited()
	defer cancel()
	return v.lead(v.s.d.Beat(ctx, a.Report), r)
}

// Leave takes a worker's word that it is gone.
func (v *service) Leave(a *LeaveArgs, r *Reply) error {
	ctx, cancel := limited()
	defer cancel()
	return v.lead(v.s.d.Leave(ctx, a.ID), r)
}
