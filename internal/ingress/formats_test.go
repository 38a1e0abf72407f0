package ingress_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// samples are rows and messages of a release; `go test ./platform/soak -run TestRecordSamples -samples FILE` records them.
type samples struct {
	Rows     map[string]map[string][]byte `json:"rows"`
	Messages map[string][][]byte          `json:"messages"`
	Hellos   [][]byte                     `json:"hellos"`
}

// forEachRelease runs a test with the samples of each release.
func forEachRelease(t *testing.T, test func(*testing.T, samples)) {
	files, err := filepath.Glob("testdata/formats/*.json")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 3)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			body, err := os.ReadFile(file)
			require.NoError(t, err)
			var s samples
			require.NoError(t, json.Unmarshal(body, &s))
			require.NotEmpty(t, s.Rows["members"])
			require.NotEmpty(t, s.Rows["groups"])
			require.NotEmpty(t, s.Messages)
			require.NotEmpty(t, s.Hellos)
			test(t, s)
		})
	}
}

func decodeHeartbeat(t *testing.T, name string, value []byte) entry.Member {
	member, err := ingress.DecodeHeartbeat(store.Change{Name: name, Value: value, Version: 1<<44 + 9})
	require.NoError(t, err)
	return member
}

func decodeGroup(t *testing.T, name string, value []byte) entry.GroupRow {
	group, err := ingress.DecodeGroup(name, store.Change{Name: name, Value: value, Version: 1<<44 + 9})
	require.NoError(t, err)
	return group
}

// lastDocument returns the kept document of the samples, if they have one.
func lastDocument(t *testing.T, s samples) (version uint64, value string, ok bool) {
	if len(s.Rows["documents"]) == 0 {
		return 0, "", false
	}
	var rows []store.Change
	for name, row := range s.Rows["documents"] {
		rows = append(rows, store.Change{Name: name, Value: row})
	}
	version, value, err := ingress.DecodeLast(s.Rows["secrets"]["sessions"], rows)
	require.NoError(t, err)
	return version, value, true
}

// Guards against a build that does not understand the rows of an earlier one, beside which it runs during an upgrade.
func TestRowsOfEarlierReleasesAreRead(t *testing.T) {
	forEachRelease(t, func(t *testing.T, s samples) {
		for name, row := range s.Rows["members"] {
			var written struct {
				Address, Region, DataCentre, Peer string
				Seen, Era                         uint64
				Started                           int64
				Vouched, Severed                  []id.Instance
				Work, Kept                        map[id.Service]float64
				Bound                             map[id.Service]map[id.Region]float64
				Suspects, Limits, Leavers         []any
				Leaving                           bool
				Link                              int
			}
			decoder := json.NewDecoder(bytes.NewReader(row))
			decoder.DisallowUnknownFields()
			require.NoError(t, decoder.Decode(&written))
			m := decodeHeartbeat(t, name, row)
			require.Equal(t, id.Instance(name), m.Instance)
			require.Equal(t, written.Address, m.Address)
			require.NotEmpty(t, m.Address)
			require.Equal(t, id.Region(written.Region), m.Region)
			require.Equal(t, id.DataCentre(written.DataCentre), m.DataCentre)
			require.Equal(t, written.Peer, m.PeerAddress)
			require.Equal(t, written.Seen, m.ReadVersion)
			require.NotZero(t, m.ReadVersion)
			require.Equal(t, written.Started, m.StartTime)
			require.Equal(t, written.Vouched, m.Vouched)
			require.Equal(t, written.Severed, m.Severed)
			require.Equal(t, written.Work, m.OfferedLoad)
			require.Equal(t, written.Kept, m.LocalShares)
			require.Equal(t, written.Bound, m.PinnedLoad)
			require.Equal(t, written.Leaving, m.Leaving)
			require.Equal(t, written.Link, m.Capacity)
			require.Len(t, m.Suspects, len(written.Suspects))
			require.Len(t, m.Limits, len(written.Limits))
			require.Len(t, m.Leavers, len(written.Leavers))
			require.Equal(t, uint64(1), written.Era)
			require.False(t, m.IsRestored)
		}
		for name, row := range s.Rows["groups"] {
			var written struct {
				Writer       id.Instance
				Started      int64
				Size         int
				Demand, Held map[id.Organisation]float64
				Era          uint64
			}
			decoder := json.NewDecoder(bytes.NewReader(row))
			decoder.DisallowUnknownFields()
			require.NoError(t, decoder.Decode(&written))
			require.Equal(t, entry.GroupRow{
				Group: id.Group(name), Version: 1<<44 + 9, Writer: written.Writer, StartTime: written.Started,
				Size: written.Size, Demand: written.Demand, Shares: written.Held,
			}, decodeGroup(t, name, row))
			require.NotEmpty(t, written.Held)
		}
		if version, value, ok := lastDocument(t, s); ok {
			require.NotZero(t, version)
			require.Contains(t, value, `"resources"`)
		}
	})
}

// Guards against a build that does not understand a message of an earlier one.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	forEachRelease(t, func(t *testing.T, s samples) {
		for _, kind := range []string{
			"member_report", "coordinator_beat", "token_request", "token_grant", "rows_request", "rows_update",
		} {
			require.NotEmpty(t, s.Messages[kind], kind)
			for _, encoded := range s.Messages[kind] {
				m := decodeEnvelope(t, encoded)
				requireAllKnown(t, m.ProtoReflect())
				switch payload := m.GetPayload().(type) {
				case *wire.Envelope_RowsRequest:
					require.NotEmpty(t, payload.RowsRequest.GetTable())
				case *wire.Envelope_RowsUpdate:
					require.NotEmpty(t, rowsOf(t, payload.RowsUpdate))
				default:
					decoded := ingress.DecodeMessage(m)
					require.NotNil(t, decoded)
					// Nothing that an earlier release says is lost.
					require.Equal(t, sizeByField(m.ProtoReflect()), sizeByField(ingress.EncodeMessage(decoded).ProtoReflect()))
				}
			}
		}
		for _, encoded := range s.Hellos {
			var hello wire.Hello
			require.NoError(t, proto.Unmarshal(encoded, &hello))
			requireAllKnown(t, hello.ProtoReflect())
			require.Len(t, hello.GetNonce(), 32)
		}
	})
}

// Guards against a build that does not understand the rows or messages of the next one because of fields that it does not
// know.
func TestUnknownFieldsOfTheNextReleaseAreIgnored(t *testing.T) {
	forEachRelease(t, func(t *testing.T, s samples) {
		for name, row := range s.Rows["members"] {
			require.Equal(t, decodeHeartbeat(t, name, row), decodeHeartbeat(t, name, withNewField(t, row)))
		}
		for name, row := range s.Rows["groups"] {
			require.Equal(t, decodeGroup(t, name, row), decodeGroup(t, name, withNewField(t, row)))
		}
		if version, value, ok := lastDocument(t, s); ok {
			secret := s.Rows["secrets"]["sessions"]
			for name, row := range s.Rows["documents"] {
				end := bytes.LastIndex(row, []byte(`,"seal":`))
				sealed := append(bytes.Clone(row[:end]), `,"new":{"a":[1]}}`...)
				seal := base64.StdEncoding.EncodeToString(ingress.SealOf(secret, sealed))
				s.Rows["documents"][name] = append(sealed[:len(sealed)-1], `,"seal":"`+seal+`"}`...)
			}
			newVersion, newValue, _ := lastDocument(t, s)
			require.Equal(t, version, newVersion)
			require.Equal(t, value, newValue)
		}
		for _, encoded := range s.Messages["rows_update"] {
			before, after := decodeEnvelope(t, encoded).GetRowsUpdate(), decodeEnvelope(t, withNewNumber(t, encoded)).GetRowsUpdate()
			require.Equal(t, rowsOf(t, before), rowsOf(t, after))
			require.Equal(t, before.GetVersion(), after.GetVersion())
		}
		for _, kind := range []string{"member_report", "coordinator_beat", "token_request", "token_grant"} {
			for _, encoded := range s.Messages[kind] {
				require.Equal(t, ingress.DecodeMessage(decodeEnvelope(t, encoded)),
					ingress.DecodeMessage(decodeEnvelope(t, withNewNumber(t, encoded))), kind)
			}
		}
	})
}

func decodeEnvelope(t *testing.T, encoded []byte) *wire.Envelope {
	m := new(wire.Envelope)
	require.NoError(t, proto.Unmarshal(encoded, m))
	require.NotNil(t, m.GetPayload())
	return m
}

// rowsOf returns the values of the rows of an update by name.
func rowsOf(t *testing.T, u *wire.RowsUpdate) map[string]string {
	rows := u.GetRows()
	if len(u.GetPacked()) > 0 {
		var unpacked wire.RowsUpdate
		require.NoError(t, ingress.DecompressMessage(u.GetPacked(), &unpacked))
		rows = unpacked.GetRows()
	}
	values := make(map[string]string)
	for _, r := range rows {
		values[r.GetName()] = string(r.GetValue())
	}
	return values
}

// forEachMessage applies do to a message and all messages in it.
func forEachMessage(m protoreflect.Message, do func(protoreflect.Message)) {
	do(m)
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				forEachMessage(value.List().Get(i).Message(), do)
			}
		default:
			forEachMessage(value.Message(), do)
		}
		return true
	})
}

// requireAllKnown checks that a message has no field that this build does not know.
func requireAllKnown(t *testing.T, m protoreflect.Message) {
	forEachMessage(m, func(m protoreflect.Message) { require.Empty(t, m.GetUnknown(), m.Descriptor().Name()) })
}

// sizeByField returns how many values the messages in m have of each field.
func sizeByField(m protoreflect.Message) map[protoreflect.FullName]int {
	sizes := make(map[protoreflect.FullName]int)
	forEachMessage(m, func(m protoreflect.Message) {
		m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
			n := 1
			if field.IsList() {
				n = value.List().Len()
			}
			sizes[field.FullName()] += n
			return true
		})
	})
	return sizes
}

// withNewNumber adds a field that no release knows to a message and all messages in it.
func withNewNumber(t *testing.T, encoded []byte) []byte {
	m := decodeEnvelope(t, encoded)
	forEachMessage(m.ProtoReflect(), func(m protoreflect.Message) {
		// Field 1000 with the value 7.
		m.SetUnknown(protoreflect.RawFields{0xc0, 0x3e, 7})
	})
	extended, err := proto.Marshal(m)
	require.NoError(t, err)
	require.Greater(t, len(extended), len(encoded))
	return extended
}

// withNewField adds a field that no release knows to a row and to the objects in its lists.
func withNewField(t *testing.T, row []byte) []byte {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(row))
	decoder.UseNumber()
	require.NoError(t, decoder.Decode(&fields))
	for _, value := range fields {
		list, _ := value.([]any)
		for _, element := range list {
			if object, ok := element.(map[string]any); ok {
				object["new"] = []any{1}
			}
		}
	}
	fields["new"] = map[string]any{"a": 1}
	extended, err := json.Marshal(fields)
	require.NoError(t, err)
	return extended
}
