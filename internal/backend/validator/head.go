// Package validator checks the heads of answers by RFC 9112, sections 2 to 5. net/http is
// lenient: it takes any three digits for a status, keeps field names with spaces, joins folded
// lines, ends a head at a bare line feed, and ignores a Transfer-Encoding in HTTP/1.0 and a
// Content-Length beside one. Such a head has two readings, and with it the body that its fields
// delimit.
package validator

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrMalformed is returned for an answer whose head is no HTTP/1.x or delimits the body in two ways,
// or that switches to another protocol, which no request here asks for.
var ErrMalformed = errors.New("answer is malformed")

// part is the part of a head that the next byte belongs to.
type part int

const (
	// partBody is all that follows a final head. It is not checked.
	partBody part = iota
	partStatusLine
	partReason
	partFieldStart
	partFieldName
	partFieldValue
	// partLineEnd is the line feed after a carriage return.
	partLineEnd
	// partHeadEnd is the line feed that ends the head.
	partHeadEnd
)

var partNames = [...]string{
	partBody: "body", partStatusLine: "status line", partReason: "reason", partFieldStart: "field name", partFieldName: "field name",
	partFieldValue: "field value", partLineEnd: "line end", partHeadEnd: "line end",
}

// Control bytes of a head.
const (
	carriageReturn = '\r'
	lineFeed       = '\n'
	tab            = '\t'
	del            = 0x7f
)

// Statuses of answers.
const (
	minStatus = 100
	// switchingProtocols would be followed by another protocol's bytes.
	switchingProtocols = 101
	// minFinalStatus is the lowest status of an answer that no other one follows.
	minFinalStatus = 200
	// MaxStatus is the highest status that HTTP defines a class for.
	MaxStatus = 599
)

// statusLine is the pattern of a status line up to the reason; a 0 stands for any digit.
const statusLine = "HTTP/1.0 000"

// Names of the fields that delimit a body.
const (
	lengthField   = "Content-Length"
	encodingField = "Transfer-Encoding"
)

// Head checks the bytes of answers' heads, which may come in pieces. The zero value expects
// no head.
type Head struct {
	part part
	// line counts the lines of the head from 1.
	line int
	// column is the number of bytes of the status line that were checked.
	column int
	// minorVersion is the digit after "HTTP/1.".
	minorVersion byte
	status       int
	// name holds the first bytes of the current field name, and nameLength the length of all of it.
	name       [len(encodingField)]byte
	nameLength int
	// hasLength and hasEncoding are set once the head has the field.
	hasLength, hasEncoding bool
}

// Expect makes the next byte the first one of a head.
func (h *Head) Expect() { *h = Head{part: partStatusLine, line: 1} }

// Check checks the next bytes of an answer. After an interim head it expects another one, after
// a final head it accepts all bytes. It returns the number of bytes before the first that is
// malformed, with an error that wraps ErrMalformed.
func (h *Head) Check(data []byte) (int, error) {
	for i, b := range data {
		if h.part == partBody {
			break
		}
		in, line := h.part, h.line
		if !h.accept(b) {
			return i, fmt.Errorf("%w: byte %#02x in the %s, line %d", ErrMalformed, b, partNames[in], line)
		}
		if h.isAmbiguous() {
			return i, fmt.Errorf("%w: Transfer-Encoding beside Content-Length or in HTTP/1.0, line %d", ErrMalformed, line)
		}
	}
	return len(data), nil
}

// accept moves to the part that follows a byte. It reports false if the byte is malformed.
func (h *Head) accept(b byte) bool {
	switch h.part {
	case partStatusLine:
		return h.acceptStatusLine(b)
	case partReason, partFieldValue:
		return h.acceptText(b)
	case partFieldStart:
		if b == carriageReturn {
			h.part = partHeadEnd
			return true
		}
		h.part, h.nameLength = partFieldName, 0
		return h.acceptName(b)
	case partFieldName:
		if b == ':' {
			h.part = partFieldValue
			h.endName()
			return true
		}
		return h.acceptName(b)
	case partLineEnd:
		h.part = partFieldStart
		h.line++
		return b == lineFeed
	case partHeadEnd:
		h.end()
		return b == lineFeed
	case partBody:
	}
	return true
}

// acceptStatusLine accepts the version, the status and the space before the reason, which
// some servers leave out with the reason.
func (h *Head) acceptStatusLine(b byte) bool {
	if h.column == len(statusLine) {
		h.part = partReason
		return b == carriageReturn && h.acceptText(b) || b == ' '
	}
	want := statusLine[h.column]
	h.column++
	if want != '0' {
		return b == want
	}
	if b < '0' || b > '9' {
		return false
	}
	if h.column <= len("HTTP/1.0") {
		h.minorVersion = b
		return true
	}
	h.status = h.status*10 + int(b-'0')
	return h.column < len(statusLine) || h.status >= minStatus && h.status <= MaxStatus && h.status != switchingProtocols
}

// acceptName accepts a byte of a field name.
func (h *Head) acceptName(b byte) bool {
	if h.nameLength < len(h.name) {
		h.name[h.nameLength] = b
	}
	h.nameLength++
	return isToken(b)
}

// endName notes a field that delimits the body.
func (h *Head) endName() {
	h.hasLength = h.hasLength || h.isName(lengthField)
	h.hasEncoding = h.hasEncoding || h.isName(encodingField)
}

// isName reports whether the field name is that of a field.
func (h *Head) isName(field string) bool {
	return h.nameLength == len(field) && bytes.EqualFold(h.name[:len(field)], []byte(field))
}

// isAmbiguous reports whether the fields delimit the body in two ways (RFC 9112, sections 6.1
// and 6.3): HTTP/1.0 has no Transfer-Encoding, and a server that sends it with a Content-Length may
// mean either.
func (h *Head) isAmbiguous() bool {
	return h.hasEncoding && (h.hasLength || h.minorVersion == '0')
}

// acceptText accepts a byte of a reason or a field value.
func (h *Head) acceptText(b byte) bool {
	if b == carriageReturn {
		h.part = partLineEnd
		return true
	}
	return b == tab || b >= ' ' && b != del
}

// end ends a head.
func (h *Head) end() {
	if h.status < minFinalStatus {
		h.Expect()
		return
	}
	h.part = partBody
}

// isToken reports whether a field name may hold a byte (RFC 9110, section 5.6.2).
func isToken(b byte) bool {
	switch {
	case b >= '0' && b <= '9', b >= 'A' && b <= 'Z', b >= 'a' && b <= 'z':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
