package ingress

// DecodeMessage and EncodeMessage give tests access to the codec of messages of other instances.
var (
	DecodeMessage = decodeMessage
	EncodeMessage = encodeMessage
)
