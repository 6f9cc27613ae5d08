package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// claimTimeout bounds the wait for the log; a claim outlives an election.
	claimTimeout = 5 * time.Second
	// releaseWait is how long a refusal waits for its claim to be released, so
	// that a resend with the same key finds it free.
	releaseWait = 500 * time.Millisecond
	// completeTimeout bounds the attempts to record an outcome.
	completeTimeout = 5 * time.Second
	// completePause is the wait between such attempts.
	completePause = 200 * time.Millisecond
)

// recorder keeps an answer of limited size for the log. A nil recorder keeps nothing.
type recorder struct {
	answer structs.Answer
	size   int
	whole  bool
}

func (r *recorder) header(resp *http.Response) {
	if r == nil {
		return
	}
	r.answer.Status = resp.StatusCode
	h := make(http.Header)
	copyEndToEnd(h, resp.Header)
	r.answer.Header = h
	for key, values := range h {
		r.size += len(key)
		for _, v := range values {
			r.size += len(v)
		}
	}
	r.check()
}

func (r *recorder) write(b []byte) {
	if r == nil || len(b) == 0 {
		return
	}
	r.size += len(b)
	r.check()
	if !r.answer.TooLarge {
		r.answer.Body = append(r.answer.Body, b...)
	}
}

// check drops what exceeds the largest recorded answer.
func (r *recorder) check() {
	if r.size > structs.MaxStoredAnswerBytes {
		r.answer.TooLarge = true
		r.answer.Header, r.answer.Body = nil, nil
	}
}

func (r *recorder) complete() {
	if r != nil {
		r.whole = true
	}
}

// runClaimed runs a request at most once per key. The key is claimed in the
// log first, so that the same key at another entry host is not run again.
func (h *Host) runClaimed(ctx context.Context, w http.ResponseWriter, req *Request) error {
	claim := structs.Claim{Owner: req.Owner, Key: req.Key, Digest: digest(req), Host: h.cfg.Host, Nonce: nonce()}
	h.claimOpened()
	res, err := h.claim(req, claim)
	if err != nil {
		h.dropClaim(claim, err)
		return err
	}
	if !res.Claimed {
		h.claimClosed()
		return replay(w, claim, res.Claim)
	}
	rec := &recorder{}
	var runErr error
	defer func() {
		// Also when the answer broke off: run panics then.
		h.settle(claim, rec, runErr)
	}()
	if ctx.Err() != nil {
		runErr = structs.Errorf(structs.CodeDeadline, "entry.claim", "the caller has gone").WithOutcome(structs.OutcomeNotRun)
		return runErr
	}
	runErr = h.run(ctx, w, req, rec)
	return runErr
}

// dropClaim ends a claim that was not granted. One that the log has refused is
// over; without an answer it may get into the log yet, and is released then.
func (h *Host) dropClaim(claim structs.Claim, err error) {
	var e *structs.Error
	if errors.As(err, &e) && e.Outcome == structs.OutcomeNotRun {
		h.claimClosed()
		return
	}
	h.record(complete(claim, nil, true), true)
}

// claim asks the log for the key. Without an answer of the log it is not known
// whether an earlier request with the key ran, so the refusal says unknown.
func (h *Host) claim(req *Request, c structs.Claim) (structs.Result, error) {
	limit := claimTimeout
	if req.Timeout > 0 {
		limit = min(limit, req.Timeout/2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	res, err := h.cfg.Control.Claim(ctx, c)
	if err == nil && res.Error != nil {
		err = res.Error
	}
	if err == nil && !res.Claimed && res.Claim == nil {
		err = structs.Errorf(structs.CodeInternal, "entry.claim", "the log answered without a claim")
	}
	if err == nil {
		return res, nil
	}
	var e *structs.Error
	if !errors.As(err, &e) {
		e = structs.Errorf(structs.CodeNoLeader, "entry.claim", "%v", err)
	}
	if e.Code == structs.CodeKeyReused || e.Code == structs.CodeBadRequest {
		// The log has no request like this one under the key.
		return structs.Result{}, e.WithOutcome(structs.OutcomeNotRun)
	}
	e = e.WithOutcome(structs.OutcomeUnknown)
	if e.RetryAfterMS == 0 {
		e.RetryAfterMS = structs.ElectionTimeoutMax.Milliseconds()
	}
	return structs.Result{}, e
}

// settle records the outcome of a claimed request.
func (h *Host) settle(claim structs.Claim, rec *recorder, err error) {
	var e *structs.Error
	switch {
	case errors.As(err, &e) && e.Outcome == structs.OutcomeNotRun:
		wait(h.record(complete(claim, nil, true), false), releaseWait)
	case rec.whole:
		h.record(complete(claim, &rec.answer, false), false)
	default:
		// The outcome is unknown; the claim stays and resends get 409.
		h.claimClosed()
	}
}

func complete(c structs.Claim, answer *structs.Answer, notRun bool) structs.Complete {
	return structs.Complete{Owner: c.Owner, Key: c.Key, Nonce: c.Nonce, NotRun: notRun, Answer: answer}
}

// record writes an outcome to the log in the background; the channel is
// closed at the end. A shutdown waits for it. With late set, the claim may get
// into the log only after the outcome, and a claim that is not found is tried again.
func (h *Host) record(c structs.Complete, late bool) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer h.claimClosed()
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		for {
			err := h.cfg.Control.Complete(ctx, c)
			if err == nil || final(err, late) {
				return
			}
			if !pause(ctx, completePause) {
				h.cfg.Log.Warn().Err(err).Str("owner", c.Owner).Msg("the outcome of a claimed request could not be recorded")
				return
			}
		}
	}()
	return done
}

// final reports whether another attempt to record would be answered the same.
func final(err error, late bool) bool {
	var e *structs.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == structs.CodeConflict || e.Code == structs.CodeNotFound && !late
}

func wait(done <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (h *Host) claimOpened() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims++
}

func (h *Host) claimClosed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims--
}

// replay answers from the record of an earlier request with the same key.
func replay(w http.ResponseWriter, mine structs.Claim, c *structs.ClaimState) error {
	const step = "entry.claim"
	if c.Digest != mine.Digest {
		return structs.Errorf(structs.CodeKeyReused, step, "the idempotency key belongs to a different request").WithOutcome(structs.OutcomeNotRun)
	}
	if c.Answer == nil {
		return structs.Errorf(structs.CodeInProgress, step, "a request with this key was sent through host %s and its outcome is not recorded", c.Host).
			WithOutcome(structs.OutcomeUnknown).WithRetryAfter(time.Second.Milliseconds())
	}
	if c.Answer.TooLarge {
		return structs.Errorf(structs.CodeAlreadyRun, step, "a request with this key was answered with status %d; the answer is over %d bytes and not kept", c.Answer.Status, structs.MaxStoredAnswerBytes).
			WithOutcome(structs.OutcomeUnknown)
	}
	copyEndToEnd(w.Header(), c.Answer.Header)
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(c.Answer.Status)
	// A failed write means that the caller has gone.
	_, _ = w.Write(c.Answer.Body)
	return nil
}

// digest identifies the request that a key belongs to.
func digest(req *Request) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%s\n%s?%s\n", req.Method, req.Entry, req.Path, req.RawQuery)
	sum.Write(req.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

func nonce() string {
	var b [16]byte
	// Read never fails; it ends the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
