/** Bytes of messages on links, without the headers of WebSocket, TLS and TCP. */
export interface LinkTraffic {
    sentBytes: number;
    receivedBytes: number;
}
