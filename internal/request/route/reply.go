package route

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// writeAnswer writes the answer to the caller. After an error the answer is
// incomplete, and the caller's connection must be aborted.
func (r *Router) writeAnswer(writer http.ResponseWriter, call *call, answer *answer) error {
	header := writer.Header()
	for name, values := range endToEndHeaders(answer.header, 2) {
		header[name] = values
	}
	header.Set(cairnbay.RequestHeader, call.id)
	header.Set(cairnbay.OutcomeHeader, string(answer.outcome(call)))
	if r.leaving.Load() {
		header.Set("Connection", "close")
	}
	if answer.stream != nil {
		return r.writeStream(writer, answer)
	}
	if call.request.Method != http.MethodHead && bodyAllowed(answer.status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	writer.WriteHeader(answer.status)
	_, err := writer.Write(answer.body)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return err
}

// outcome is done for the answer of an upstream; the answer of another data centre
// states its own outcome.
func (a *answer) outcome(call *call) cairnbay.Outcome {
	if call.fromOtherDataCentre {
		return forwardedOutcome(a.header)
	}
	return cairnbay.OutcomeDone
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeStream copies the answer to the caller while the upstream sends it. An
// answer of unknown length is flushed after each read, because its caller may wait
// for the parts one by one.
func (r *Router) writeStream(writer http.ResponseWriter, answer *answer) error {
	controller := http.NewResponseController(writer)
	defer answer.finish()
	defer answer.stream.Close()
	answer.watchdog.addTimeoutHook(func() { _ = controller.SetWriteDeadline(time.Now()) })
	writer.WriteHeader(answer.status)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := answer.stream.Read(buffer[:])
		if n > 0 {
			if _, writeErr := writer.Write(buffer[:n]); writeErr != nil {
				return errors.Annotate(writeErr, "writing the answer")
			}
			answer.watchdog.recordProgress()
			if answer.length < 0 {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "reading the answer")
		}
	}
}
