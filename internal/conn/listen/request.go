package listen

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"cairnbay"
)

// drainTimeout limits how long the rest of a body is read that a handler has left unread, so
// that the client receives the response.
const drainTimeout = 500 * time.Millisecond

// request accounts for one request.
type request struct {
	account    *account
	conn       *conn
	holding    holding
	controller *http.ResponseController
	// body is nil for a request without one.
	body *body

	// mu guards complete and ended, so that an eviction ends only reads of this body.
	mu sync.Mutex
	// complete is set once the whole body has arrived, ended once the handler has returned.
	complete, ended bool
}

// begin accounts for a request whose header has arrived.
func (a *account) begin(c *conn, writer http.ResponseWriter, httpRequest *http.Request) *request {
	c.countsHeader.Store(false)
	if httpRequest.ProtoMajor > 1 && c.http2.CompareAndSwap(false, true) {
		a.multiplex(&c.holding)
	}
	r := &request{account: a, conn: c, controller: http.NewResponseController(writer)}
	r.holding.evict = r.evict
	hasBody := httpRequest.Body != nil && httpRequest.Body != http.NoBody
	if hasBody {
		r.body = &body{request: r, inner: httpRequest.Body}
		httpRequest.Body = r.body
		if a.limits.BodyTimeout > 0 {
			r.limitBody(time.Now().Add(a.limits.BodyTimeout))
		}
	}
	if !a.openRequest(&r.holding, &c.holding, headerMemory(httpRequest), !hasBody) && hasBody {
		a.abandon(&r.holding)
		r.evict()
	}
	return r
}

// setBodyDeadline limits the reads of the body, unless an eviction has ended them.
func (r *request) setBodyDeadline(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.account.isEvicted(&r.holding) {
		r.limitBody(deadline)
	}
}

// evict ends the read of the body, so that the handler responds.
func (r *request) evict() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete && !r.ended {
		r.limitBody(time.Now())
	}
}

// finishBody notes that the whole body has arrived. It returns false if the request was evicted
// before.
func (r *request) finishBody() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete && !r.account.complete(&r.holding, &r.conn.holding) {
		return false
	}
	r.complete = true
	r.limitBody(time.Time{})
	return true
}

// headerMemory estimates the memory of a parsed header in bytes.
func headerMemory(httpRequest *http.Request) int64 {
	total := len(httpRequest.RequestURI)
	for name, values := range httpRequest.Header {
		total += fieldBytes + len(name)
		for _, value := range values {
			total += len(value)
		}
	}
	return int64(total)
}

// limitBody sets the deadline of the reads of the body. A connection that does not allow it
// is closed by its other limits.
func (r *request) limitBody(deadline time.Time) {
	_ = r.controller.SetReadDeadline(deadline)
}

// end releases the memory of the request.
func (r *request) end() {
	r.mu.Lock()
	r.ended = true
	if r.body != nil && !r.complete {
		r.limitBody(time.Now().Add(drainTimeout))
	}
	r.mu.Unlock()
	r.account.closeRequest(&r.holding, &r.conn.holding)
}

// body is the body of a request. Its bytes count as they arrive, whatever length the header
// claims.
type body struct {
	request *request
	inner   io.ReadCloser
}

// Read implements io.Reader. Errors: those of the body, ErrOverloaded if the request has to
// yield to others, ErrDeadline if the body takes too long.
func (b *body) Read(buffer []byte) (int, error) {
	r := b.request
	count, err := b.inner.Read(buffer)
	if count > 0 && !r.account.add(&r.holding, bodyWeight*int64(count)) {
		return 0, cairnbay.ErrOverloaded
	}
	switch {
	case errors.Is(err, io.EOF) && !r.finishBody():
		return 0, cairnbay.ErrOverloaded
	case errors.Is(err, os.ErrDeadlineExceeded) && r.account.isEvicted(&r.holding):
		return 0, cairnbay.ErrOverloaded
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, cairnbay.ErrDeadline
	}
	return count, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	return b.inner.Close()
}

type requestKey struct{}

// Reserve accounts for memory that a request takes while it is served, besides its body. ctx is
// that of the request. Errors: ErrOverloaded if there is no room for it.
func Reserve(ctx context.Context, bytes int64) error {
	r, _ := ctx.Value(requestKey{}).(*request)
	if r != nil && !r.account.reserve(&r.holding, bytes) {
		return cairnbay.ErrOverloaded
	}
	return nil
}

// firstBufferBytes is the first size of a buffer for a body.
const firstBufferBytes = 4 << 10

// ReadBody reads the body of a request until the deadline, which holds for requests of a
// Server. The buffer grows with the bytes
// that arrive, so a length that is only claimed takes no memory. Errors: ErrTooLarge for a
// body over limit bytes, ErrDeadline, ErrOverloaded, ErrInvalid for a body that ends early or
// is malformed.
func ReadBody(writer http.ResponseWriter, httpRequest *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if httpRequest.Body == nil || httpRequest.Body == http.NoBody {
		return nil, nil
	}
	if httpRequest.ContentLength > limit {
		return nil, cairnbay.ErrTooLarge
	}
	if received, ok := httpRequest.Body.(*body); ok {
		received.request.setBodyDeadline(deadline)
	}
	reader := http.MaxBytesReader(writer, httpRequest.Body, limit)
	content := make([]byte, 0, firstBufferBytes)
	// One byte more than expected tells the end of the body.
	last := limit + 1
	if httpRequest.ContentLength > 0 {
		last = httpRequest.ContentLength + 1
	}
	for {
		count, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if err != nil {
			return content, bodyError(err)
		}
		if len(content) == cap(content) {
			size := 2 * int64(len(content))
			if size >= last-1 {
				size = max(last, int64(len(content))+1)
			}
			content = append(make([]byte, 0, size), content...)
		}
	}
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.Is(err, cairnbay.ErrOverloaded), errors.Is(err, cairnbay.ErrDeadline):
		return err
	case errors.As(err, &tooLarge):
		return cairnbay.ErrTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return cairnbay.ErrDeadline
	default:
		return cairnbay.ErrInvalid
	}
}
