package forwarder

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/gateway/placer"
)

var oddTargets = []string{
	"/a/b", "//a/b", "///", "//a/b?c=1", "/./a", "/a/../b", "/a%2Fb", "/a/%2e%2e/b", "/a;b=1/c", "/a?b?c", "/a?", "/a#b", "/a b",
	"http://h.example//a/b", "http://h.example/a?b=http://x/y", "http://h.example", "https://u@h.example/a", "h.example:80", "*", "/\xff\xfe", "/a\x7f", "/a\"b", "/%zz", "/a|b{}^`",
	"/" + strings.Repeat("a", 8<<10),
}

// FuzzTargetReachesServerUnchanged guards against a server that gets another path or host than
// the caller sent.
func FuzzTargetReachesServerUnchanged(f *testing.F) {
	for _, t := range oddTargets {
		f.Add("POST", t)
	}
	f.Fuzz(func(t *testing.T, method, target string) {
		c := qt.New(t)
		line := method + " " + target + " HTTP/1.1\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + "Host: h.example\r\n\r\n")))
		if err != nil || r.RequestURI != target {
			// The HTTP library answers 400.
			return
		}
		x, _ := newExchange(t, holder.Idempotent)
		x.r = r
		var buf bytes.Buffer
		if err := appendRequest(&buf, x.newRequest(&placer.Placed{}), r.RequestURI); err != nil {
			return
		}
		c.Assert(strings.HasPrefix(buf.String(), line), qt.IsTrue, qt.Commentf("%.200q", buf.String()))
		c.Assert(strings.Count(buf.String(), "\r\n\r\n"), qt.Equals, 1)
		path := getTargetPath(target)
		c.Assert(strings.Contains(target, path), qt.IsTrue)
		c.Assert(path == "" || path[0] == '/', qt.IsTrue)
	})
}

// TestRouteIsMatchedWithPathAsSent guards against an escaped slash, or the host of a target, that
// selects another route.
func TestRouteIsMatchedWithPathAsSent(t *testing.T) {
	c := qt.New(t)
	for target, want := range map[string]string{
		"/files/archive%2F17": "/files/archive%2F17", "//a/b?c": "//a/b", "http://h//a/b?c://d/e": "//a/b", "http://h": "", "*": "", "h:80": "",
	} {
		c.Check(getTargetPath(target), qt.Equals, want, qt.Commentf("%s", target))
	}
}
