// Package mangler is a stand-in for a backend server, or another process at its address,
// that answers with a malformed head.
package mangler

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// statusLines are faults of the first line.
var statusLines = map[string]string{
	"status 000":            "HTTP/1.1 000 OK",
	"status 001":            "HTTP/1.1 001 OK",
	"status 099":            "HTTP/1.1 099 OK",
	"status 101":            "HTTP/1.1 101 Switching Protocols",
	"status 600":            "HTTP/1.1 600 OK",
	"status 999":            "HTTP/1.1 999 OK",
	"status with a sign":    "HTTP/1.1 +20 OK",
	"status of two digits":  "HTTP/1.1 20 OK",
	"status of four digits": "HTTP/1.1 2000 OK",
	"no status":             "HTTP/1.1",
	"version 0":             "HTTP/0.9 200 OK",
	"version 2":             "HTTP/2.0 200 OK",
	"two blanks":            "HTTP/1.1  200 OK",
	"control in the reason": "HTTP/1.1 200 O\x00K",
	"no answer":             "\xff\x00\xfe",
}

// badBytes are bytes that a field name must not hold: blanks, line ends and other control bytes.
var badBytes = map[string]string{
	"space": " ", "tab": "\t", "NUL": "\x00", "BEL": "\a", "LF": "\n", "VT": "\v", "CR": "\r", "ESC": "\x1b", "DEL": "\x7f",
}

// Mangle returns malformed variants of a well-formed answer, by fault. The answer has a
// Content-Length and at least one other field before it.
func Mangle(answer string) map[string]string {
	const length = "Content-Length"
	statusLine, rest, _ := strings.Cut(answer, "\r\n")
	variants := make(map[string]string)
	for fault, line := range statusLines {
		variants[fault] = line + "\r\n" + rest
	}
	variants["empty field name"] = strings.Replace(answer, length, ": v\r\n"+length, 1)
	variants["no colon"] = strings.Replace(answer, length, "X-Extra\r\n"+length, 1)
	variants["control in a value"] = strings.Replace(answer, length, "X-Extra: a\x01b\r\n"+length, 1)
	variants["line end without CR"] = statusLine + "\n" + rest
	const encoding = "Transfer-Encoding: chunked\r\n"
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	version10 := strings.Replace(answer, "HTTP/1.1", "HTTP/1.0", 1)
	variants["encoding before the length"] = strings.Replace(answer, length, encoding+length, 1)
	variants["encoding after the length"] = head + "\r\n" + encoding + "\r\n" + body
	variants["version 1.0 with an encoding"] = strings.Replace(version10, length, encoding+"X-Length", 1)
	variants["version 1.0 with an encoding in odd case"] = strings.Replace(version10, length, strings.ToUpper(encoding)+"X-Length", 1)
	variants["version 1.0 with an encoding and the length"] = strings.Replace(version10, length, encoding+length, 1)
	for name, b := range badBytes {
		for position, field := range map[string]string{"before": b + "X-Extra", "within": "X" + b + "Extra", "after": "X-Extra" + b} {
			variants[fmt.Sprintf("%s %s a field name", name, position)] = strings.Replace(answer, length, field+": v\r\n"+length, 1)
		}
		for position, field := range map[string]string{"before": b + length, "within": "Content" + b + "Length", "after": length + b} {
			variants[fmt.Sprintf("%s %s the name of the length", name, position)] = strings.Replace(answer, length, field, 1)
		}
	}
	return variants
}

// Listen answers one request on each connection to a new port of the loopback interface, and
// then waits for the peer to close the connection. It sends the number of bytes that came
// after the request to ended, for each connection.
func Listen(answer string, ended chan<- int64) (net.Listener, netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	go serve(ln, answer, ended)
	return ln, netip.MustParseAddrPort(ln.Addr().String()), nil
}

func serve(ln net.Listener, answer string, ended chan<- int64) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, answer)
			n, _ := io.Copy(io.Discard, br)
			ended <- n
		}()
	}
}
