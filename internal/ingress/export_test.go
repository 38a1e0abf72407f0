package ingress

// DecodeMessage gives tests access to the decoder of messages of other instances.
var DecodeMessage = decodeMessage
