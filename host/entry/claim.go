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
	// claimTimeout bounds the wait until a claim is in the replicated log. It is
	// long enough for a claim to survive a leader election.
	claimTimeout = 5 * time.Second
	// releaseWait is how long a refusal is held back until its claim is
	// released, so that a retry with the same key can claim it.
	releaseWait = 500 * time.Millisecond
	// completeTimeout bounds all attempts to record one outcome.
	completeTimeout = 5 * time.Second
	// completeRetryInterval is the wait between two attempts to record an outcome.
	completeRetryInterval = 200 * time.Millisecond
)

// recorder keeps a copy of a response, up to MaxStoredAnswerBytes, for the
// replicated log. A nil recorder keeps nothing.
type recorder struct {
	answer   structs.Answer
	size     int
	finished bool // the response was read to its end
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
	r.enforceSizeLimit()
}

func (r *recorder) write(b []byte) {
	if r == nil || len(b) == 0 {
		return
	}
	r.size += len(b)
	r.enforceSizeLimit()
	if !r.answer.TooLarge {
		r.answer.Body = append(r.answer.Body, b...)
	}
}

// enforceSizeLimit drops header and body once they exceed MaxStoredAnswerBytes.
func (r *recorder) enforceSizeLimit() {
	if r.size > structs.MaxStoredAnswerBytes {
		r.answer.TooLarge = true
		r.answer.Header, r.answer.Body = nil, nil
	}
}

func (r *recorder) finish() {
	if r != nil {
		r.finished = true
	}
}

// runClaimed runs a request at most once per key. It first claims the key in the
// replicated log, so that a retry through another entry host is not run again.
func (h *Host) runClaimed(ctx context.Context, w http.ResponseWriter, req *Request) error {
	claim := structs.Claim{Owner: req.Owner, Key: req.Key, Digest: requestDigest(req), Host: h.cfg.Host, Nonce: newNonce()}
	h.claimOpened()
	res, err := h.claim(req, claim)
	if err != nil {
		h.releaseFailedClaim(claim, err)
		return err
	}
	if !res.Claimed {
		h.claimClosed()
		return replay(w, claim, res.Claim)
	}
	rec := &recorder{}
	var runErr error
	defer func() {
		// Deferred because run panics when the response breaks off.
		h.recordOutcome(claim, rec, runErr)
	}()
	if ctx.Err() != nil {
		runErr = structs.Errorf(structs.CodeDeadline, "entry.claim", "the caller has gone").WithOutcome(structs.OutcomeNotRun)
		return runErr
	}
	runErr = h.run(ctx, w, req, rec)
	return runErr
}

// releaseFailedClaim handles a claim call that failed with err. If the claim was
// certainly not made, nothing is left to release. If the result is unknown, the
// claim may still be committed, so a release is recorded for it.
func (h *Host) releaseFailedClaim(claim structs.Claim, err error) {
	var e *structs.Error
	if errors.As(err, &e) && e.Outcome == structs.OutcomeNotRun {
		h.claimClosed()
		return
	}
	h.completeInBackground(newComplete(claim, nil, true), true)
}

// claim claims the key in the replicated log. If the call fails, it is not known
// whether an earlier request with the same key ran, so the error has
// OutcomeUnknown. The request has certainly not run only if the error is
// CodeKeyReused or CodeBadRequest.
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
		// The claim was refused, and no equal request is recorded under the key.
		return structs.Result{}, e.WithOutcome(structs.OutcomeNotRun)
	}
	e = e.WithOutcome(structs.OutcomeUnknown)
	if e.RetryAfterMS == 0 {
		e.RetryAfterMS = structs.ElectionTimeoutMax.Milliseconds()
	}
	return structs.Result{}, e
}

// recordOutcome records the outcome of a claimed request: not run, or its
// response. A refusal waits up to releaseWait for the release of the claim.
func (h *Host) recordOutcome(claim structs.Claim, rec *recorder, err error) {
	var e *structs.Error
	switch {
	case errors.As(err, &e) && e.Outcome == structs.OutcomeNotRun:
		waitFor(h.completeInBackground(newComplete(claim, nil, true), false), releaseWait)
	case rec.finished:
		h.completeInBackground(newComplete(claim, &rec.answer, false), false)
	default:
		// The outcome is unknown: the claim stays, and retries are refused with 409.
		h.claimClosed()
	}
}

func newComplete(c structs.Claim, answer *structs.Answer, notRun bool) structs.Complete {
	return structs.Complete{Owner: c.Owner, Key: c.Key, Nonce: c.Nonce, NotRun: notRun, Answer: answer}
}

// completeInBackground writes an outcome to the replicated log in the background
// and closes the returned channel when that has succeeded or failed. A shutdown
// waits for it. mayBePending is set if the claim may reach the log after the
// outcome; a "not found" result is then retried.
func (h *Host) completeInBackground(c structs.Complete, mayBePending bool) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer h.claimClosed()
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		for {
			err := h.cfg.Control.Complete(ctx, c)
			if err == nil || isFinal(err, mayBePending) {
				return
			}
			if !pause(ctx, completeRetryInterval) {
				h.cfg.Log.Warn().Err(err).Str("owner", c.Owner).Msg("could not record the outcome of a request with an idempotency key; retries with this key may be refused")
				return
			}
		}
	}()
	return done
}

// isFinal reports whether another attempt to record the outcome would fail with
// the same error.
func isFinal(err error, mayBePending bool) bool {
	var e *structs.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == structs.CodeConflict || e.Code == structs.CodeNotFound && !mayBePending
}

func waitFor(done <-chan struct{}, limit time.Duration) {
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

// replay writes the recorded response of the earlier request with the same key,
// or returns an error if there is none to send.
func replay(w http.ResponseWriter, claim structs.Claim, earlier *structs.ClaimState) error {
	const step = "entry.claim"
	if earlier.Digest != claim.Digest {
		return structs.Errorf(structs.CodeKeyReused, step, "the idempotency key belongs to a different request").WithOutcome(structs.OutcomeNotRun)
	}
	if earlier.Answer == nil {
		return structs.Errorf(structs.CodeInProgress, step, "a request with this key was sent through host %s and its outcome is not recorded", earlier.Host).
			WithOutcome(structs.OutcomeUnknown).WithRetryAfter(time.Second.Milliseconds())
	}
	if earlier.Answer.TooLarge {
		return structs.Errorf(structs.CodeAlreadyRun, step, "a request with this key was answered with status %d; the answer is over %d bytes and not kept", earlier.Answer.Status, structs.MaxStoredAnswerBytes).
			WithOutcome(structs.OutcomeUnknown)
	}
	copyEndToEnd(w.Header(), earlier.Answer.Header)
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(earlier.Answer.Status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(earlier.Answer.Body)
	return nil
}

// requestDigest returns a hash of the request, which tells whether two requests
// with the same key are equal.
func requestDigest(req *Request) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%s\n%s?%s\n", req.Method, req.Entry, req.Path, req.RawQuery)
	sum.Write(req.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

func newNonce() string {
	var b [16]byte
	// rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
