package admission

import (
	"net/http"
	"strconv"
	"time"
)

// answerTime is how long a client may take to read an answer of Concurrent.
const answerTime = 5 * time.Second

// Concurrent returns a handler that lets next answer at most n requests at a time. Others
// are answered 503. It is for answers that may be large: one that is not read keeps its
// place for answerTime.
func Concurrent(n int, next http.Handler) http.Handler {
	places := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			w.Header().Set("Retry-After", strconv.Itoa(RetrySeconds))
			http.Error(w, "too many requests of this kind at a time; try again", http.StatusServiceUnavailable)
			return
		}
		// A server without deadlines, as in tests, goes on without one.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTime))
		next.ServeHTTP(w, r)
	})
}
