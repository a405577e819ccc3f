/** Certificates and private key for mutual TLS between processes, in PEM. */
export interface LinkTls {
    certificate: string;
    privateKey: string;
    /** Certificate authorities that may have issued the certificate of the peer. */
    authorities: string;
}
