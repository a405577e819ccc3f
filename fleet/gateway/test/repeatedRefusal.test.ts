// A faulty upstream wrote an earlier refusal once more on a kept connection. The next caller was told that its request had not
// run, or the request was sent to a second upstream, while the first one ran it.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

/** An upstream that refuses its first request, and writes that refusal again before it responds to the next one. */
class RepeatingUpstream {
    /** Ids of the requests that it ran, shape [requests]. */
    readonly ran: string[] = [];
    private refusal: { text: string; socket: Socket; } | undefined;
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    constructor(opts: { echoesIds: boolean; }) {
        this.server = createServer(socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", (chunk: Buffer) => {
                const id = /x-request-id: (\S+)/u.exec(chunk.toString("latin1"))![1]!;
                const header = opts.echoesIds ? `x-request-id: ${id}\r\n` : "";
                if (this.refusal === undefined) {
                    const text = `HTTP/1.1 503 Full\r\n${header}x-not-run: 1\r\ncontent-length: 0\r\n\r\n`;
                    this.refusal = { text, socket };
                    socket.write(text);
                    return;
                }
                this.ran.push(id);
                const response = `HTTP/1.1 200 OK\r\n${header}x-proof: p\r\ncontent-length: 2\r\n\r\nok`;
                socket.write(this.refusal.socket === socket ? this.refusal.text + response : response);
            });
        });
    }

    async listen(id: string): Promise<Upstream> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        const { port } = this.server.address() as AddressInfo;
        return {
            id,
            service: "s",
            address: { host: "127.0.0.1", port },
            zone: "z",
            softwareVersion: "v1",
            slots: 4,
            state: "ready",
            startedAtMs: 1,
        } as Upstream;
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}

[true, false].forEach(echoesIds => {
    const upstreams = echoesIds ? "echoes" : "doesn't echo";
    test(`a refusal that comes once more isn't the response to the next request if its upstream ${upstreams} ids`, async context => {
        const faulty = new RepeatingUpstream({ echoesIds });
        const sound = new UpstreamStandin((_request, response) => {
            response.writeHead(200, { "x-proof": "p" });
            response.end("ok");
        });
        const testBed = new GatewayTestBed({
            upstreams: [await faulty.listen("faulty")],
            route: { kind: "non-idempotent", maxAttempts: 2 },
        });
        await testBed.listen();
        const other = await sound.listen("sound");
        context.after(() => {
            testBed.close();
            faulty.close();
            sound.close();
        });
        const refused = await testBed.send({ headers: { "x-request-id": "first", "x-remaining": "400" } });
        assert.equal(refused.statusCode, 503);
        const second = testBed.send({ headers: { "x-request-id": "second" } });
        testBed.directory.put(other, 0);
        const { statusCode } = await second;
        assert.notEqual(statusCode, 503);
        assert.deepEqual(faulty.ran, ["second"]);
        assert.equal(sound.requests.length, 0);
    });
});
