package encoder

import (
	"maps"
	"mime"
	"net/http"
)

// HeaderAttemptID carries the ID of an attempt to a backend server and back. It is not
// sent to callers.
const HeaderAttemptID = "X-Attempt-Id"

// EndMarker is the last event of a complete event stream, without its line ends.
const EndMarker = "data: [DONE]"

const (
	headerContentType = "Content-Type"
	typeEventStream   = "text/event-stream"
)

// IsEventStream reports whether the answer is a stream of server-sent events.
func (h *Head) IsEventStream() bool {
	for _, header := range h.GetHeaders() {
		if header.GetName() == headerContentType {
			return IsEventStream(header.GetValue())
		}
	}
	return false
}

// IsEventStream reports whether a Content-Type is that of server-sent events, with any
// parameters.
func IsEventStream(contentType string) bool {
	mediaType, _, _ := mime.ParseMediaType(contentType)
	return mediaType == typeEventStream
}

// HasBody reports whether the answer with a final status to a request has a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// IsSameAs reports whether two heads are the same for a caller.
func (h *Head) IsSameAs(other *Head) bool {
	return h.GetStatus() == other.GetStatus() && maps.Equal(h.forCaller(), other.forCaller())
}

// forCaller returns the headers that are sent to callers, by name.
func (h *Head) forCaller() map[string]string {
	headers := make(map[string]string, len(h.GetHeaders()))
	for _, header := range h.GetHeaders() {
		if header.GetName() != HeaderAttemptID {
			headers[header.GetName()] = header.GetValue()
		}
	}
	return headers
}
