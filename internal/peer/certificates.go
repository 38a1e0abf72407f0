package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"bluebellhold/id"
)

// exporterLabel is the TLS exporter label of the keying material that binds the handshake to its connection.
const exporterLabel = "EXPORTER-bluebellhold-peer-1"

// Certificates holds the certificate that an instance presents and the authorities that it trusts.
//
// A certificate has the name of its instance as a DNS name and is valid for client and server authentication.
type Certificates struct {
	Own   tls.Certificate
	Roots *x509.CertPool
}

// wrapTLS runs a mutual TLS handshake on conn if certificates are configured; peer is empty on the accepting side.
func (t *Transport) wrapTLS(ctx context.Context, conn net.Conn, peer id.Instance) (net.Conn, error) {
	if t.config.Certificates == nil {
		return conn, nil
	}
	certificates, err := t.config.Certificates()
	if err != nil {
		return nil, &ConnectionError{Step: "loading certificates", Cause: err}
	}
	tlsConfig := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificates.Own},
		RootCAs:                certificates.Roots,
		ClientCAs:              certificates.Roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ServerName:             string(peer),
		SessionTicketsDisabled: true,
	}
	tlsConn := tls.Server(conn, tlsConfig)
	if peer != "" {
		tlsConn = tls.Client(conn, tlsConfig)
	}
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, &ConnectionError{Step: "TLS", Cause: err}
	}
	return tlsConn, nil
}

// channelBinding returns the exported keying material of a TLS connection, or nil without TLS.
func channelBinding(conn net.Conn) ([]byte, error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	state := tlsConn.ConnectionState()
	material, err := state.ExportKeyingMaterial(exporterLabel, nil, 32)
	if err != nil {
		return nil, &ConnectionError{Step: "exporting keying material", Cause: err}
	}
	return material, nil
}

// verifyCertificateName checks that the certificate of a TLS connection names the authenticated peer.
func verifyCertificateName(conn net.Conn, peer id.Instance) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	leaf := tlsConn.ConnectionState().PeerCertificates[0]
	if err := leaf.VerifyHostname(string(peer)); err != nil {
		return &AuthenticationError{Peer: peer, Reason: "its certificate names another instance"}
	}
	return nil
}
