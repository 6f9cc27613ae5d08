package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/admission"
)

// maxCallTime bounds the time of one call on the server.
const maxCallTime = 60 * time.Second

// Server serves calls of entry hosts.
type Server struct {
	cluster string
	control Control
	leader  func() string

	port *admission.Port

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server that passes calls to control. leader returns the id
// of the known leader, or an empty string. port bounds what the calls take.
func NewServer(cluster string, control Control, leader func() string, port *admission.Port) *Server {
	return &Server{cluster: cluster, control: control, leader: leader, port: port, conns: map[net.Conn]bool{}}
}

// Serve accepts connections until the listener, which is one of the server's port, closes.
// tlsConfig may be nil.
func (s *Server) Serve(l net.Listener, tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	srv := netrpc.NewServer()
	if err := srv.RegisterName("Control", &service{s: s}); err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.track(conn) {
			conn.Close()
			continue
		}
		go func() {
			defer s.untrack(conn)
			s.port.ServeRPC(srv, conn)
		}()
	}
}

// Close closes the open connections. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// check refuses calls from another cluster or with another message format.
func (s *Server) check(h Header) *structs.Error {
	if h.Format != FormatVersion {
		return structs.Errorf(structs.CodeVersionMismatch, "rpc.check", "message format %d; this host speaks %d", h.Format, FormatVersion).
			WithPeer(h.From).WithOutcome(structs.OutcomeNotRun)
	}
	if h.Cluster != s.cluster {
		return structs.Errorf(structs.CodeVersionMismatch, "rpc.check", "cluster %q; this host belongs to %q", h.Cluster, s.cluster).
			WithPeer(h.From).WithOutcome(structs.OutcomeNotRun)
	}
	return nil
}

// serve checks the header of one call and runs fn within the call's time limit.
func serve[T, R any](s *Server, req *Request[T], rep *Reply[R], fn func(context.Context, T) (R, error)) error {
	if err := s.check(req.Header); err != nil {
		rep.Error = err
		return nil
	}
	limit := time.Duration(req.Header.TimeoutMS) * time.Millisecond
	if limit <= 0 || limit > maxCallTime {
		limit = maxCallTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body, err := fn(ctx, req.Body)
	if err != nil {
		rep.Error = AsError(err, "control")
		if rep.Error.Code == structs.CodeNotLeader {
			rep.Leader = s.leader()
		}
		return nil
	}
	rep.Body = body
	return nil
}

// AsError returns err as a *structs.Error. Errors of other types get CodeInternal
// and OutcomeUnknown.
func AsError(err error, step string) *structs.Error {
	var e *structs.Error
	if errors.As(err, &e) {
		return e
	}
	return structs.Errorf(structs.CodeInternal, step, "%v", err).WithOutcome(structs.OutcomeUnknown)
}

// deref returns the value of p, or the zero value if the call failed.
func deref[T any](p *T, err error) (T, error) {
	if err != nil || p == nil {
		var zero T
		return zero, err
	}
	return *p, nil
}

// service holds the methods called over net/rpc, registered as "Control".
type service struct{ s *Server }

func (v *service) Sync(req *Request[structs.EntrySync], rep *Reply[structs.EntryView]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.EntrySync) (structs.EntryView, error) {
		return deref(v.s.control.Sync(ctx, &b))
	})
}

func (v *service) Watch(req *Request[Versions], rep *Reply[Versions]) error {
	return serve(v.s, req, rep, v.s.control.Watch)
}

func (v *service) WorkerRegister(req *Request[structs.WorkerRegister], rep *Reply[Empty]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.WorkerRegister) (Empty, error) {
		return Empty{}, v.s.control.WorkerRegister(ctx, &b)
	})
}

func (v *service) WorkerSync(req *Request[structs.WorkerSync], rep *Reply[structs.WorkerSyncReply]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.WorkerSync) (structs.WorkerSyncReply, error) {
		return deref(v.s.control.WorkerSync(ctx, &b))
	})
}

func (v *service) Announce(req *Request[structs.Upstream], rep *Reply[Empty]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.Upstream) (Empty, error) {
		return Empty{}, v.s.control.Announce(ctx, b)
	})
}

func (v *service) Leave(req *Request[string], rep *Reply[Empty]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b string) (Empty, error) {
		return Empty{}, v.s.control.Leave(ctx, b)
	})
}

func (v *service) Submit(req *Request[structs.SubmitJob], rep *Reply[structs.SubmitResult]) error {
	return serve(v.s, req, rep, v.s.control.Submit)
}

func (v *service) Cancel(req *Request[structs.CancelJob], rep *Reply[Empty]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.CancelJob) (Empty, error) {
		return Empty{}, v.s.control.Cancel(ctx, b)
	})
}

func (v *service) GetJob(req *Request[GetJob], rep *Reply[structs.JobView]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b GetJob) (structs.JobView, error) {
		return deref(v.s.control.GetJob(ctx, b))
	})
}

func (v *service) Explain(req *Request[Explain], rep *Reply[[]string]) error {
	return serve(v.s, req, rep, v.s.control.Explain)
}

func (v *service) ListJobs(req *Request[ListJobs], rep *Reply[[]structs.Job]) error {
	return serve(v.s, req, rep, v.s.control.ListJobs)
}

func (v *service) Claim(req *Request[structs.Claim], rep *Reply[structs.Result]) error {
	return serve(v.s, req, rep, v.s.control.Claim)
}

func (v *service) Complete(req *Request[structs.Complete], rep *Reply[Empty]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.Complete) (Empty, error) {
		return Empty{}, v.s.control.Complete(ctx, b)
	})
}

func (v *service) Catalogue(req *Request[Empty], rep *Reply[structs.Catalogue]) error {
	return serve(v.s, req, rep, func(ctx context.Context, _ Empty) (structs.Catalogue, error) {
		return deref(v.s.control.Catalogue(ctx))
	})
}

func (v *service) ApplyCatalogue(req *Request[structs.PutCatalogue], rep *Reply[structs.ChangeResult]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.PutCatalogue) (structs.ChangeResult, error) {
		return deref(v.s.control.ApplyCatalogue(ctx, &b))
	})
}

func (v *service) SetDomain(req *Request[structs.SetDomain], rep *Reply[structs.ChangeResult]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.SetDomain) (structs.ChangeResult, error) {
		return deref(v.s.control.SetDomain(ctx, b))
	})
}

func (v *service) Domains(req *Request[Empty], rep *Reply[[]structs.DomainInfo]) error {
	return serve(v.s, req, rep, func(ctx context.Context, _ Empty) ([]structs.DomainInfo, error) {
		return v.s.control.Domains(ctx)
	})
}

func (v *service) Change(req *Request[Change], rep *Reply[structs.ChangeStatus]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b Change) (structs.ChangeStatus, error) {
		return deref(v.s.control.Change(ctx, b.ID))
	})
}

func (v *service) Status(req *Request[Empty], rep *Reply[structs.Status]) error {
	return serve(v.s, req, rep, func(ctx context.Context, _ Empty) (structs.Status, error) {
		return deref(v.s.control.Status(ctx))
	})
}

func (v *service) Members(req *Request[Empty], rep *Reply[[]structs.ReplicaInfo]) error {
	return serve(v.s, req, rep, func(ctx context.Context, _ Empty) ([]structs.ReplicaInfo, error) {
		return v.s.control.Members(ctx)
	})
}

func (v *service) MemberChange(req *Request[structs.MemberRequest], rep *Reply[Empty]) error {
	return serve(v.s, req, rep, func(ctx context.Context, b structs.MemberRequest) (Empty, error) {
		return Empty{}, v.s.control.MemberChange(ctx, b)
	})
}

func (v *service) Dump(req *Request[string], rep *Reply[[]byte]) error {
	return serve(v.s, req, rep, v.s.control.Dump)
}
