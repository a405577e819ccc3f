import type { Link } from "@knapweedwood/links.calls/link";
import type { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { TcpRelay } from "@knapweedwood/standins.network/tcpRelay";

/** A link that connects through its own relay. */
export interface LinkUnderTest {
    endpoint: WebSocketLinkEndpoint;
    relay: TcpRelay;
    link: Link;
}
