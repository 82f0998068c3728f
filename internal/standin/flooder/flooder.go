// Package flooder is a stand-in for a backend server, or another process at its address,
// that sends bytes without end until its peer closes the connection.
package flooder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

const (
	// margin is how many bytes beyond the bound of its reader a flood goes on before it
	// gives up. It exceeds what the socket buffers of both ends hold (Linux: 32 and 4 MiB),
	// so that only a reader without that bound reads all.
	margin = 40 << 20
	// writeBytes is the least size of a write.
	writeBytes = 64 << 10
)

// Result describes a flood that has ended.
type Result struct {
	// Written is the number of bytes written, those of the beginning excluded.
	Written int
	// Closed is whether the peer closed the connection.
	Closed bool
}

// Flood is an answer that does not end.
type Flood struct {
	// begin is sent once, block again and again.
	begin, block string
	bound        int
	// results receives one Result for each connection.
	results chan Result
}

// New returns a Flood to a reader that is expected to stop after bound bytes.
func New(begin, block string, bound int) *Flood {
	return &Flood{begin: begin, block: block, bound: bound, results: make(chan Result, 64)}
}

// Answer floods conn. It replaces ID in the beginning by the ID of the request.
func (f *Flood) Answer(conn net.Conn, id string) {
	_, err := io.WriteString(conn, strings.ReplaceAll(f.begin, "ID", id))
	text := []byte(strings.Repeat(f.block, max(1, writeBytes/len(f.block))))
	res := Result{Closed: err != nil}
	for res.Written < f.bound+margin && !res.Closed {
		n, err := conn.Write(text)
		res.Written += n
		res.Closed = err != nil
	}
	f.results <- res
}

// Wait returns the result of the next flood that ends.
func (f *Flood) Wait() Result { return <-f.results }

// Serve answers one request on each connection to ln with the flood, until ln is closed.
func (f *Flood) Serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				f.Answer(conn, "")
			}
		}()
	}
}

// Listen serves the flood on a new port of the loopback interface.
func (f *Flood) Listen() (net.Listener, netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	go f.Serve(ln)
	return ln, netip.MustParseAddrPort(ln.Addr().String()), nil
}
