/** Bytes of messages on links, without WebSocket, TLS and TCP headers. */
export interface LinkTraffic {
    sentBytes: number;
    receivedBytes: number;
}
