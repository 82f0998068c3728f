package validator

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// uncheckedReaders are ways to read answers without a check of their heads. What is allowed on
// the same line makes them checked.
var uncheckedReaders = []struct{ reader, allowed *regexp.Regexp }{
	{regexp.MustCompile(`http\.(Default(Client|Transport)|Get|Head|Post|PostForm)\b`), regexp.MustCompile(`http\.Header`)},
	{regexp.MustCompile(`http\.Client\{`), regexp.MustCompile(`http\.Client\{Transport: t, CheckRedirect: `)},
	{regexp.MustCompile(`http\.Transport\{`), regexp.MustCompile(`(limiter\.N|\bn)ewTransport\(`)},
	{regexp.MustCompile(`http\.ReadResponse\(`), regexp.MustCompile(`ReadResponse\(c\.Reader, req\)`)},
}

// TestAnswersAreReadUnchecked guards against a new reader of answers that takes what net/http
// takes, or follows redirects.
func TestAnswersAreReadUnchecked(t *testing.T) {
	c := qt.New(t)
	files := 0
	for _, root := range []string{"../../../internal", "../../../cmd", "../../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/standin/") {
				return err
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			files++
			for line := range strings.Lines(string(data)) {
				for _, u := range uncheckedReaders {
					if u.reader.MatchString(line) && !u.allowed.MatchString(line) {
						c.Errorf("%s reads answers unchecked: %s", path, strings.TrimSpace(line))
					}
				}
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(files > 100, qt.IsTrue)
}
