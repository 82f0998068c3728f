package evictor

import (
	"bytes"
	"net/http"
	"time"

	"siskinfall/internal/process/accountant"
)

// head measures the head of a request.
type head struct {
	bytes, fields int64
	// charged is what the account has reserved beyond accountant.FreeHeadBytes.
	charged int64
	// blank is set if the latest line has no bytes so far. A line without any is the last.
	blank, ended bool
}

// add adds bytes of the connection up to the end of the head. Empty lines before the head
// count as its end: they delay the count by the rest of a read.
func (h *head) add(p []byte) {
	for !h.ended && len(p) > 0 {
		line, rest, isEnd := bytes.Cut(p, []byte{'\n'})
		if len(bytes.TrimRight(line, "\r")) > 0 {
			h.blank = false
		}
		h.bytes += int64(len(p) - len(rest))
		if isEnd {
			h.fields++
			h.ended, h.blank = h.blank, true
		}
		p = rest
	}
}

// set measures a head that has been read.
func (h *head) set(r *http.Request) {
	h.fields, h.bytes = 1, int64(len(r.RequestURI)+len(r.Host))
	for name, values := range r.Header {
		h.fields += int64(len(values))
		h.bytes += int64(len(name) * len(values))
		for _, v := range values {
			h.bytes += int64(len(v))
		}
	}
}

// chargeStep is the least that is reserved at once, in bytes.
const chargeStep = 4 << 10

// copies is how often the bytes of a head are in memory: as read and as strings.
const copies = 2

// charge reserves what the head takes beyond what is free.
func (h *head) charge(account *accountant.Account, now time.Time) bool {
	more := copies*h.bytes + h.fields*accountant.FieldBytes - accountant.FreeHeadBytes - h.charged
	if more <= 0 {
		return true
	}
	more = max(more, chargeStep)
	if !account.Reserve(accountant.Head, more, now) {
		return false
	}
	h.charged += more
	return true
}
