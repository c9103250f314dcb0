package fleet

import (
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// traffic counts the bytes of the digests that this host sends, by part, to hosts of one kind of data centre.
type traffic struct {
	members, items, loads, crashes, prompts, rest tally.Counter
}

func newTraffic(scope tally.Scope, dataCentre string) traffic {
	counter := func(part string) tally.Counter {
		return scope.Tagged(map[string]string{"part": part, "data_centre": dataCentre}).Counter("fleet_digest_bytes")
	}
	return traffic{
		members: counter("members"), items: counter("items"), loads: counter("loads"), crashes: counter("crashes"),
		prompts: counter("prompts"), rest: counter("rest"),
	}
}

// count counts the digest. Parts are counted without the few bytes of their tags and lengths, which belong to the rest.
func (t traffic) count(d *fleetpb.Digest) {
	rest := int64(proto.Size(d))
	for _, part := range []struct {
		counter tally.Counter
		bytes   int
	}{
		{t.members, sizes(d.GetHosts())},
		{t.items, proto.Size(d.GetMirror())},
		{t.loads, proto.Size(d.GetLoads()) + sizes(d.GetLimits())},
		{t.crashes, sizes(d.GetStrikes()) + sizes(d.GetCrashSets())},
		{t.prompts, proto.Size(d.GetPrompts())},
	} {
		part.counter.Inc(int64(part.bytes))
		rest -= int64(part.bytes)
	}
	t.rest.Inc(rest)
}

func sizes[M proto.Message](messages []M) int {
	n := 0
	for _, m := range messages {
		n += proto.Size(m)
	}
	return n
}

// countSent counts a digest that is sent to a host of the data centre. One whose data centre is unknown counts as remote.
func (f *Fleet) countSent(dataCentreHash uint32, d *fleetpb.Digest) {
	if dataCentreHash == f.dataCentreHash {
		f.localTraffic.count(d)
		return
	}
	f.remoteTraffic.count(d)
}
