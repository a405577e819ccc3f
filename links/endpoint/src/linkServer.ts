import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { createServer as createPlainServer, type Server } from "node:http";
import { createServer as createTlsServer, type Server as TlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { AcceptedLink } from "./acceptedLink.js";
import type { DecodedMessage } from "./decodedMessage.js";
import { LinkConnection } from "./linkConnection.js";
import type { LinkContext } from "./linkContext.js";
import type { LinkTls } from "./linkTls.js";
import type { MessageOf } from "./messageOf.js";
import { notRunError } from "./notRunError.js";
import { oldestProtocolVersion } from "./oldestProtocolVersion.js";
import { protocolVersion } from "./protocolVersion.js";
import { toErrorRecord } from "./toErrorRecord.js";

interface LinkServerOptions {
    context: LinkContext;
    host: string;
    port: number;
    tls: LinkTls | undefined;
}

/** Accepts connections and assigns each to the session that its `hello` names. */
export class LinkServer {
    private readonly opts: LinkServerOptions;
    private readonly server: Server | TlsServer;
    private readonly sessions = new Map<string, AcceptedLink>();

    constructor(opts: LinkServerOptions) {
        this.opts = opts;
        this.server = opts.tls === undefined ? createPlainServer() : createTlsServer(toServerOptions(opts.tls));
        const webSockets = new WebSocketServer({
            server: this.server,
            perMessageDeflate: false,
            maxPayload: opts.context.limits.maxMessageBytes,
        });
        webSockets.on("connection", socket => this.onConnection(socket));
    }

    /** The links whose sessions are kept, including those without a connection. */
    get links(): AcceptedLink[] {
        return [...this.sessions.values()];
    }

    /** Starts listening. @returns the bound port */
    async listen(): Promise<number> {
        const { host, port } = this.opts;
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    /** Replaces the certificates for new connections. */
    reloadTls(tls: LinkTls): void {
        (this.server as TlsServer).setSecureContext(toServerOptions(tls));
    }

    /** Closes all links and connections and stops listening. */
    async close(): Promise<void> {
        this.links.forEach(link => link.close());
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private onConnection(socket: WebSocket): void {
        const { clock, codec, limits } = this.opts.context;
        let link: AcceptedLink | undefined;
        const connection: LinkConnection = new LinkConnection({
            socket,
            clock,
            codec,
            onMessage: decoded => {
                if (link !== undefined) {
                    link.onMessage(connection, decoded);
                    return;
                }
                handshakeTimer.cancel();
                link = this.onFirstMessage(connection, decoded);
            },
            onClosed: (reason: KnapweedError) => {
                handshakeTimer.cancel();
                link?.onConnectionClosed(connection, reason);
            },
            onDrained: () => link?.onConnectionDrained(connection),
        });
        const handshakeTimer = clock.setTimer(limits.connectTimeoutMs, () => connection.terminate());
    }

    private onFirstMessage(connection: LinkConnection, { message }: DecodedMessage): AcceptedLink | undefined {
        if (message.type !== "hello") {
            connection.terminate();
            return undefined;
        }
        const refusal = this.refusalOf(message);
        if (refusal !== undefined) {
            connection.sendMessage({ type: "refusal", error: toErrorRecord(refusal) });
            connection.close();
            return undefined;
        }
        const existing = this.sessions.get(message.sessionId);
        const link = existing ?? this.createLink(message);
        try {
            link.accept(connection, message, existing === undefined);
        }
        catch (error) {
            link.end(toKnapweedError(error));
            throw error;
        }
        return link;
    }

    private refusalOf(hello: MessageOf<"hello">): KnapweedError | undefined {
        if (hello.version < oldestProtocolVersion || hello.oldestVersion > protocolVersion) {
            const text = `The peer supports protocol versions ${oldestProtocolVersion} to ${protocolVersion}`;
            return notRunError("LINK_VERSION_UNSUPPORTED", text);
        }
        if (this.opts.context.registry.isClosing) {
            return notRunError("LINK_CLOSING", "The process is shutting down");
        }
        return undefined;
    }

    private createLink(hello: MessageOf<"hello">): AcceptedLink {
        this.endStaleSessions(hello);
        const link = new AcceptedLink({
            context: this.opts.context,
            onClosed: () => this.sessions.delete(hello.sessionId),
        });
        this.sessions.set(hello.sessionId, link);
        return link;
    }

    /**
     * Ends sessions of the same instance that the peer can't resume: those without a connection and those of an earlier
     * process.
     */
    private endStaleSessions({ identity }: MessageOf<"hello">): void {
        const reason = notRunError("LINK_PEER_REPLACED", "The peer has started another session");
        this.links
            .filter(link => link.peer?.instanceId === identity.instanceId)
            .filter(link => !link.isAttached || link.peer!.incarnation < identity.incarnation)
            .forEach(link => link.end(reason));
    }
}

function toServerOptions(tls: LinkTls) {
    return {
        cert: tls.certificate,
        key: tls.privateKey,
        ca: tls.authorities,
        requestCert: true,
        rejectUnauthorized: true,
    };
}
