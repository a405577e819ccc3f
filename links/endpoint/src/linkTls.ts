/** Certificates of mutual TLS between processes, in PEM. */
export interface LinkTls {
    certificate: string;
    privateKey: string;
    /** Authorities whose certificates the other end may show. */
    authorities: string;
}
