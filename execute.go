package bluebellhold

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/tcp"
	"bluebellhold/note"
	"bluebellhold/store"
)

// execute executes an effect. It is called with the mutex held and never blocks: an effect that may block runs in a
// goroutine of its own.
func (i *Instance) execute(effect steering.Effect) {
	i.countEffect(effect)
	switch e := effect.(type) {
	case steering.RequestEffect:
		if watcher := i.watchers[e.RequestID()]; watcher != nil {
			watcher <- e
		}
	case steering.Send:
		i.transport.Send(e.To, e.Message)
	case steering.SetPeers:
		i.transport.SetPeers(e.Members)
	case steering.Reply:
		if proposer := i.proposers[e.ID]; proposer != nil {
			proposer <- e
			delete(i.proposers, e.ID)
		}
	case steering.Log:
		i.log.Info(e.Component+": "+e.Message, e.Fields...)
	case steering.DrainCallerConnections:
		i.gateway.DisableKeepAlives()
	case steering.CloseCallerConnections:
		i.goroutines.Go(i.closeCallerConnections)
	case steering.StopProcess:
		close(i.stopped)
	default:
		i.goroutines.Go(func() { i.executeBlocking(effect) })
	}
}

// executeBlocking executes an effect that waits for the platform or an upstream and posts the result.
func (i *Instance) executeBlocking(effect steering.Effect) {
	ctx, cancel := context.WithTimeout(i.ctx, store.DefaultTimeout)
	defer cancel()
	switch e := effect.(type) {
	case steering.Transact:
		result, err := i.config.Table.Transact(ctx, e.Transaction)
		i.Post(steering.TransactionDone{Call: e.Call, Result: result, Err: err})
	case steering.ReadRows:
		sentAt := time.Now()
		rows, err := i.config.Table.Read(ctx, e.Names)
		i.Post(steering.RowsRead{Call: e.Call, SentAt: sentAt, Rows: rows, Err: err})
	case steering.ScanRows:
		sentAt := time.Now()
		rows, err := i.config.Table.Scan(ctx, e.Prefix, e.After, e.Limit)
		i.Post(steering.RowsScanned{Call: e.Call, SentAt: sentAt, Rows: rows, Err: err})
	case steering.ReadHead:
		i.Post(i.readHead(ctx))
	case steering.ListMembers:
		members, err := i.config.Directory.List(ctx)
		i.Post(steering.MembersListed{Members: members, Failed: err != nil})
	case steering.Probe:
		i.Post(i.probe(ctx, e))
	case steering.TestConnection:
		conn, err := i.dialUpstream(ctx, e.Address)
		if err == nil {
			_ = tcp.Close(conn)
		}
		i.Post(steering.ConnectionTested{Upstream: e.Upstream, IsReached: err == nil})
	case steering.DecodeEpoch:
		i.Post(decodeEpoch(e.Epoch, e.Digest, e.Body))
	default:
		i.executeObjectEffect(ctx, effect)
	}
}

func (i *Instance) executeObjectEffect(ctx context.Context, effect steering.Effect) {
	switch e := effect.(type) {
	case steering.ReadObject:
		body, err := i.config.Objects.Get(ctx, e.Name)
		i.Post(steering.ObjectDone{Call: e.Call, Body: body, Err: err})
	case steering.WriteObject:
		err := i.config.Objects.Put(ctx, e.Name, e.Body)
		i.Post(steering.ObjectDone{Call: e.Call, IsWrite: true, Err: err})
	case steering.DeleteObject:
		// The error is ignored, because no claim refers to an object that is left behind; it only occupies space.
		_ = i.config.Objects.Delete(ctx, e.Name)
	case steering.LoadEpoch:
		body, err := i.config.Objects.Get(ctx, steering.EpochObject(e.Epoch, e.Digest))
		if err == nil {
			i.Post(decodeEpoch(e.Epoch, e.Digest, body))
		}
	}
}

func (i *Instance) readHead(ctx context.Context) steering.HeadRead {
	sentAt := time.Now()
	rows, err := i.config.Table.Read(ctx, []string{steering.HeadRow})
	if err != nil {
		return steering.HeadRead{SentAt: sentAt, Err: err}
	}
	return steering.HeadRead{SentAt: sentAt, Row: rows[0]}
}

// decodeEpoch verifies the content of an epoch against its digest and compiles it; the Configuration of the result is
// nil if the content is not valid.
func decodeEpoch(epoch id.Epoch, digest id.Digest, body []byte) steering.EpochLoaded {
	loaded := steering.EpochLoaded{Epoch: epoch, Digest: digest}
	if id.DigestOf(body) != digest {
		return loaded
	}
	configuration, err := note.Decode(body)
	if err != nil || configuration.Epoch != epoch {
		return loaded
	}
	loaded.Configuration = note.Compile(configuration)
	loaded.Body = body
	return loaded
}

// maxLoadBytes bounds the response of a load endpoint.
const maxLoadBytes = 64 << 10

// probe reads the load endpoint of an upstream.
func (i *Instance) probe(ctx context.Context, e steering.Probe) steering.LoadReported {
	report := steering.LoadReported{Service: e.Service, Upstream: e.Upstream, Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/load", nil)
	if err != nil {
		return report
	}
	response, err := i.probeClient.Do(request)
	if err != nil {
		return report
	}
	defer response.Body.Close()
	var load struct {
		Running id.Slots `json:"running"`
		Slots   id.Slots `json:"slots"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load) != nil {
		return report
	}
	report.Running, report.Slots, report.Failed = load.Running, load.Slots, false
	return report
}
