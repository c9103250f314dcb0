package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// streamSamples builds what clients and servers observed of streams.
type streamSamples struct {
	calls []call
	runs  []arrival
}

// add adds a response with the events after one event up to another, written by a server of the version.
func (s *streamSamples) add(id, resumes string, after, last int, version string) *call {
	w := writer{"i-" + version, version}
	c := call{id: id, path: "/stream/", router: "127.0.0.1:1", resumes: resumes, after: after, status: 200, stamp: "x", complete: last == streamLength}
	for n := after + 1; n <= last; n++ {
		c.body += streamEvent(id, n, w)
	}
	s.calls = append(s.calls, c)
	s.runs = append(s.runs, arrival{request: id, path: c.path, instance: w.instance, version: version, executed: true})
	return &s.calls[len(s.calls)-1]
}

// addPairs adds streams that are taken up by a server of the version after event 3.
func (s *streamSamples) addPairs(n int, version string) {
	for i := range n {
		id := fmt.Sprintf("%s-%d", version, i)
		s.add(id, "", 0, 3, "v1")
		s.add(id+"+1", id, 3, streamLength, version)
	}
}

// refuse makes all requests that take streams up refused, which did or did not run.
func (s *streamSamples) refuse(ran bool) {
	for i := range s.calls {
		if c := &s.calls[i]; c.resumes != "" {
			c.status, c.body = 503, ""
			s.runs[i].executed = ran
		}
	}
}

// Guards against a check of streams that passes whatever clients observe.
func TestChecksFindFaultsOfStreams(t *testing.T) {
	for _, test := range []struct {
		name, want string
		fill       func(s *streamSamples)
	}{
		{"sound", "", func(s *streamSamples) { s.addPairs(30, "v1") }},
		{"two of two versions", "", func(s *streamSamples) { s.addPairs(2, "v2") }},
		{"three of two versions", "3 streams hold events of several versions", func(s *streamSamples) { s.addPairs(3, "v2") }},
		{"missing event", "out of order", func(s *streamSamples) {
			c := s.add("a", "", 0, 5, "v1")
			c.body = strings.Replace(c.body, streamEvent("a", 2, writer{"i-v1", "v1"}), "", 1)
		}},
		{"missing event between requests", "missing or repeated", func(s *streamSamples) {
			s.add("a", "", 0, 3, "v1")
			s.add("a+1", "a", 4, streamLength, "v1")
		}},
		{"repeated event", "missing or repeated", func(s *streamSamples) {
			s.add("a", "", 0, 3, "v1")
			s.add("a+1", "a", 2, streamLength, "v1")
		}},
		{"event of a server that did not run the request", "out of order", func(s *streamSamples) {
			s.add("a", "", 0, 3, "v1").body += streamEvent("a", 4, writer{"i-v2", "v2"})
		}},
		{"end before the last event", "incomplete", func(s *streamSamples) { s.add("a", "", 0, 7, "v1").complete = true }},
		{"refused though it ran", "got status 503 although it ran", func(s *streamSamples) { s.addPairs(1, "v1"); s.refuse(true) }},
		{"few take-ups refused", "", func(s *streamSamples) { s.addPairs(minTakeUps-1, "v1"); s.refuse(false) }},
		{"take-ups refused", "0 of 12 streams that clients took up went on", func(s *streamSamples) { s.addPairs(minTakeUps, "v1"); s.refuse(false) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s streamSamples
			test.fill(&s)
			checkSample(t, &s, test.want)
		})
	}
}

// checkSample checks that the only violations are those that contain the text, or that there are none if it is empty.
func checkSample(t *testing.T, s *streamSamples, want string) {
	t.Helper()
	now := time.Now()
	f := &faultLog{serving: []servingPeriod{
		{writer: writer{"i-v1", "v1"}, from: now.Add(-time.Hour)}, {writer: writer{"i-v1b", "v1"}, from: now.Add(-time.Hour)},
	}}
	for i := range s.calls {
		s.calls[i].started, s.calls[i].ended = now, now
	}
	found := findViolations(s.calls, s.runs, f)
	if want == "" && len(found) > 0 || want != "" && len(found) == 0 {
		t.Fatalf("found %q, want %q", found, want)
	}
	for _, violation := range found {
		if !strings.Contains(violation, want) {
			t.Errorf("found %q, want %q", violation, want)
		}
	}
}
