// A stream that broke off was resumed at an upstream that answered with an error. The caller received the events so far, and the
// body of the error, as a complete response.
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

type Respond = (request: IncomingMessage, response: ServerResponse, run: number) => void;

/** Returns what a caller receives from three upstreams, at which `respond` handles the runs of its request. */
async function receive(respond: Respond, maxAttempts: number) {
    let runs = 0;
    const standins = ["u1", "u2", "u3"].map(() =>
        new UpstreamStandin((request, response) => {
            runs += 1;
            respond(request, response, runs);
        })
    );
    const upstreams = await Promise.all(standins.map((standin, index) => standin.listen(`u${index}`)));
    const bed = new GatewayTestBed({
        upstreams,
        route: { kind: "stream", isResumable: true, maxAttempts },
        soleVersion: "v1" as SoftwareVersion,
    });
    await bed.listen();
    const { statusCode, isComplete, body } = await bed.send();
    bed.close();
    standins.forEach(standin => standin.close());
    return { statusCode, isComplete, body, runs };
}

function sendEvent(response: ServerResponse, id: number): void {
    response.writeHead(200, { "content-type": "text/event-stream", "x-proof": "p" });
    response.write(`id: ${id}\ndata: ${id}\n\n`);
}

function breakOff(response: ServerResponse): void {
    setTimeout(() => response.destroy(), 20);
}

const failSecondRun: Respond = (_request, response, run) => {
    if (run === 2) {
        response.writeHead(500, { "x-proof": "p" });
        response.end("id: 2\ndata: error\n\n");
        return;
    }
    sendEvent(response, run === 1 ? 1 : 2);
    if (run === 1) {
        breakOff(response);
    }
    else {
        response.end();
    }
};

test("a stream that can't be resumed, since the last upstream fails, isn't complete for its caller", async () => {
    const received = await receive(failSecondRun, 2);
    assert.deepEqual(received, { statusCode: 200, isComplete: false, body: "id: 1\ndata: 1\n\n", runs: 2 });
});

test("a stream goes on at a third upstream if the second one fails", async () => {
    const received = await receive(failSecondRun, 3);
    const body = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
    assert.deepEqual(received, { statusCode: 200, isComplete: true, body, runs: 3 });
});

test("an error response that breaks off isn't continued with the response of another upstream", async () => {
    const received = await receive((_request, response, run) => {
        if (run === 1) {
            response.writeHead(500, { "x-proof": "p", "content-length": "10" });
            response.write("half");
            breakOff(response);
            return;
        }
        sendEvent(response, 1);
        response.end();
    }, 3);
    assert.deepEqual(received, { statusCode: 500, isComplete: false, body: "half", runs: 1 });
});

// An error with status 200 that ends with a blank line, or a head between two events, was forwarded as an event.
const foreign = {
    "an error of another content type": (response: ServerResponse) => {
        response.writeHead(200, { "content-type": "application/json", "x-proof": "p" });
        response.end('{"error":"overloaded"}\n\n');
    },
    "a head in place of events": (response: ServerResponse) => {
        response.writeHead(200, { "content-type": "text/event-stream", "x-proof": "p" });
        response.end('HTTP/1.1 500 Error\r\ncontent-type: application/json\r\n\r\n{"error":"x"}\n\n');
    },
    "an error's text behind an event": (response: ServerResponse) => {
        response.writeHead(200, { "content-type": "text/event-stream; charset=utf-8", "x-proof": "p" });
        response.end("id: 2\ndata: 2\n\nInternal Server Error\n\n");
    },
};

Object.entries(foreign).forEach(([name, answer]) => {
    void test(`a stream doesn't go on with ${name}`, async () => {
        const respond = (lastRun: Respond): Respond => (request, response, run) => {
            if (run === 2) {
                answer(response);
                return;
            }
            if (run === 3) {
                lastRun(request, response, run);
                return;
            }
            sendEvent(response, 1);
            breakOff(response);
        };
        const goOn: Respond = (request, response) => {
            const after = Number(request.headers["last-event-id"]);
            response.writeHead(200, { "content-type": "text/event-stream", "x-proof": "p" });
            response.end([2, 3].filter(id => id > after).map(id => `id: ${id}\ndata: ${id}\n\n`).join(""));
        };
        const continued = await receive(respond(goOn), 3);
        const body = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
        assert.deepEqual(continued, { statusCode: 200, isComplete: true, body, runs: 3 });
        const broken = await receive(respond(goOn), 2);
        assert.deepEqual([broken.isComplete, broken.runs], [false, 2]);
        assert.match(broken.body, /^id: 1\ndata: 1\n\n(id: 2\ndata: 2\n\n)?$/u);
    });
});
