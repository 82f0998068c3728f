package loader

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

const invalidSettings = `instance: entry-1
availability_zone: ""
listen:
  callers: not-an-address
log:
  level: loud
entry:
  drain_timeout: 5h
  kandidates: 3
`

func TestDefaultsAreValidAndMatchGoldenFile(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(WriteDefaults(&b), qt.IsNil)
	goldie.New(t).Assert(t, "defaults", b.Bytes())
	s, err := Parse(b.Bytes())
	c.Assert(err, qt.IsNil)
	c.Assert(reflect.DeepEqual(s, NewSettings()), qt.IsTrue)
}

func TestParseReportsEveryMistake(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]byte(invalidSettings))
	c.Assert(IsInvalid(err), qt.IsTrue)
	goldie.New(t).Assert(t, "mistakes", []byte(err.Error()+"\n"))
}

func TestFileOverridesDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse([]byte("instance: x\nplatform: {timeout: 5s}\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Instance, qt.Equals, "x")
	c.Assert(s.Platform.Timeout, qt.Equals, 5*time.Second)
	c.Assert(s.Zone, qt.Equals, NewSettings().Zone)
}
