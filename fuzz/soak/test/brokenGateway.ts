import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { callerPaths } from "@knapweedwood/platform.standins/callerPaths";
import { readBody } from "@knapweedwood/standins.http/readBody";
import {
    createServer,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import { crashingRequest } from "../src/crashingRequest.js";
import { jobRoutes } from "../src/jobRoutes.js";
import { ANSWER_SERVICE, MODEL_SERVICE } from "../src/soakNames.js";
import type { SoakUpstream } from "../src/soakUpstream.js";
import type { TeamKeyRecord } from "../src/teamKeyRecord.js";
import type { Breakage } from "./breakage.js";

interface Run {
    id: string;
    path: string;
    body: string;
    owner: TeamKeyRecord | undefined;
}

interface WireItem {
    id: string;
    path: string;
    headers: { [name: string]: string; };
    body: string;
}

interface Job {
    items: WireItem[];
    results: { id: string; state: string; output: string; }[];
    isCancelled: boolean;
    owner: TeamKeyRecord | undefined;
}

const PROBE = /^\/only-(\d+)\//u;
/** Number of ended upstreams after which the crashing request is known. */
const CRASHES_UNTIL_KNOWN = 3;
const HTTP_UNAVAILABLE = 503;
const RETRY_DELAY_MS = 20;
/** Longer than the items of a cancelled job may still start to run. */
const LATE_RUN_MS = 4200;

/** Time after the end of a job in which callers read all its results. */
const RELIST_DELAY_MS = 2000;

const MAX_HEADER_BYTES = 16_000;

/** A simple in-process gateway that breaks one promise on purpose. */
export class BrokenGateway {
    version = 1;
    isStopping = false;
    private readonly breakage: Breakage;
    private readonly upstreams: SoakUpstream[];
    private readonly keys: TeamKeyRecord[];
    private readonly servers: Server[] = [];
    private readonly jobs = new Map<string, Job>();
    private readonly draining = new Set<SoakUpstream>();
    private lastResponseText = "";
    private requestCount = 0;
    private crashes = 0;

    constructor(opts: { breakage: Breakage; upstreams: SoakUpstream[]; keys: TeamKeyRecord[]; }) {
        this.keys = opts.keys;
        this.breakage = opts.breakage;
        this.upstreams = opts.upstreams;
    }

    async listen(host: string, ports: number[]): Promise<void> {
        for (const port of ports) {
            const server = createServer((request, response) => void this.handle(request, response));
            this.servers.push(server);
            await new Promise<void>(resolve => server.listen(port, host, resolve));
        }
    }

    drain(upstream: SoakUpstream): void {
        this.draining.add(upstream);
    }

    stop(): void {
        this.isStopping = true;
        if (this.breakage === "cuts-when-stopping") {
            this.servers.forEach(server => server.closeAllConnections());
        }
    }

    close(): void {
        this.servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const url = request.url ?? "";
        const body = await readText(request).catch(() => undefined);
        if (body === undefined) {
            // The caller has gone while it sent its request.
            return;
        }
        if (url === callerPaths.readiness) {
            response.writeHead(200).end();
            return;
        }
        const owner = this.keys.find(({ key }) => key === request.headers[wireHeaders.key]);
        if (this.keys.length > 0 && !this.isAccepted(owner)) {
            response.writeHead(401, { "content-length": 0 }).end();
            return;
        }
        if (url.startsWith(callerPaths.jobs) || isSubmission(url)) {
            this.handleJob(request, response, { body, owner });
            return;
        }
        if (!this.isActiveRoute(url) || this.breakage === "serves-nobody") {
            response.writeHead(this.breakage === "serves-nobody" ? 503 : 404, { "content-length": 0 }).end();
            return;
        }
        if (this.shouldReject(url, body)) {
            response.writeHead(422, { "content-length": 0 }).end();
            return;
        }
        await this.forward(request, response, { body, owner });
    }

    private isAccepted(owner: TeamKeyRecord | undefined): boolean {
        return owner !== undefined && (owner.untilVersion === undefined || this.breakage === "serves-withdrawn-keys")
            && this.breakage !== "rejects-valid-keys";
    }

    /** Returns whether the request has ended too many upstreams; by mistake, other requests of its route may count too. */
    private shouldReject(url: string, body: string): boolean {
        const isCrashing = body === crashingRequest.body;
        const isKnown = this.crashes >= CRASHES_UNTIL_KNOWN && this.breakage !== "passes-crashing-requests";
        return isKnown && (isCrashing || this.breakage === "rejects-sound-requests" && url.startsWith("/fetch/"));
    }

    /** Returns whether the route of a URL exists. Only routes of probes may be missing. */
    private isActiveRoute(url: string): boolean {
        const version = PROBE.exec(url)?.[1];
        this.requestCount += 1;
        if (version === undefined) {
            return true;
        }
        const goesBack = this.breakage === "goes-back" && this.requestCount % 2 === 0;
        return this.breakage === "keeps-old-routes"
            ? Number(version) === 1
            : Number(version) === this.version - (goesBack ? 1 : 0);
    }

    private async forward(
        request: IncomingMessage,
        response: ServerResponse,
        { body, owner }: Pick<Run, "body" | "owner">,
    ): Promise<void> {
        const id = String(request.headers[wireHeaders.requestId]);
        const path = request.url ?? "";
        const sent = this.breakage === "changes-bodies" ? body.replace("caller", "callee") : body;
        if (this.breakage === "runs-twice") {
            await this.run({ id, path, body: sent, owner });
        }
        const upstreamResponse = await this.run({ id, path, body: sent, owner });
        const text = this.applyBreakage(upstreamResponse.text);
        this.lastResponseText = upstreamResponse.text;
        const statusCode = this.breakage === "lies-about-runs" ? 503 : upstreamResponse.statusCode;
        response.writeHead(statusCode, {
            "content-length": Buffer.byteLength(text),
            [wireHeaders.upstreamProof]: "proof",
        });
        response.end(text);
    }

    private applyBreakage(text: string): string {
        if (this.breakage === "swaps-answers") {
            return this.lastResponseText;
        }
        if (this.breakage === "mixes-versions") {
            return text.replace(/^(id: 2\n.*)@v0$/mu, "$1@v1");
        }
        return this.breakage === "drops-events" ? text.replace(/^id: 2\n.*\n\n/mu, "") : text;
    }

    private handleJob(
        request: IncomingMessage,
        response: ServerResponse,
        { body, owner }: Pick<Run, "body" | "owner">,
    ): void {
        const url = new URL(request.url ?? "", "http://gateway");
        const jobId = url.pathname.startsWith(callerPaths.jobs)
            ? decodeURIComponent(url.pathname.slice(callerPaths.jobs.length))
            : String(request.headers[wireHeaders.requestId]);
        if (isSubmission(url.pathname)) {
            if (hasInvalidHeaders(body)) {
                response.writeHead(400, { "content-length": 0 }).end();
                return;
            }
            this.submit(jobId, body, owner);
            response.writeHead(this.breakage === "runs-refused-jobs" ? 429 : 202, { "content-length": 0 }).end();
            return;
        }
        const known = this.breakage === "forgets-jobs" ? undefined : this.jobs.get(jobId);
        const job = known?.owner?.team === owner?.team || this.breakage === "shows-jobs" ? known : undefined;
        if (job !== undefined && request.method === "DELETE") {
            job.isCancelled = true;
        }
        const after = Number(url.searchParams.get("after") ?? 0);
        const page = { total: job?.items.length, results: job?.results.slice(after) };
        const text = JSON.stringify(page);
        response.writeHead(job === undefined ? 404 : 200, { "content-length": Buffer.byteLength(text) }).end(text);
    }

    private submit(jobId: string, body: string, owner: TeamKeyRecord | undefined): void {
        if (this.jobs.has(jobId)) {
            return;
        }
        const { items } = JSON.parse(body) as { items: WireItem[]; };
        const job: Job = { items, results: [], isCancelled: false, owner };
        this.jobs.set(jobId, job);
        void this.runJob(job);
    }

    private async runJob(job: Job): Promise<void> {
        await Promise.all(job.items.map(async item => {
            const isLate = this.breakage === "runs-cancelled-items";
            await new Promise(resolve => setTimeout(resolve, isLate ? LATE_RUN_MS : 0));
            if (job.isCancelled && !isLate) {
                return;
            }
            const text = await this.runItem({ ...item, owner: job.owner });
            const output = [...text.matchAll(/^data: (.*)$/gmu)].map(match => match[1]).join("\n");
            const result = {
                id: item.id,
                state: this.breakage === "gives-items-up" ? "dead_letter" : "completed",
                output: this.breakage === "cuts-texts" ? output.slice(0, -1) : output,
            };
            job.results.splice(this.breakage === "moves-results" ? 0 : job.results.length, 0, result);
        }));
        if (this.breakage === "lists-items-twice") {
            await new Promise(resolve => setTimeout(resolve, RELIST_DELAY_MS));
            job.results.push(...job.results.map(({ id }) => ({ id, state: "dead_letter", output: "" })));
        }
    }

    /** Runs an item, and retries it while the upstreams are full. */
    private async runItem(item: Run): Promise<string> {
        const call = { ...item, body: Buffer.from(item.body, "base64").toString("utf8") };
        let response = await this.run(call);
        while (response.statusCode === HTTP_UNAVAILABLE) {
            await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
            response = await this.run(call);
        }
        return response.text;
    }

    private run(call: Run): Promise<{ statusCode: number; text: string; }> {
        const isAnswerService =
            /^\/(?:fetch|book|only-\d+)\//u.test(call.path) !== (this.breakage === "mixes-services");
        const service = isAnswerService ? ANSWER_SERVICE : MODEL_SERVICE;
        const candidates = this.upstreams
            .filter(upstream => upstream.announcement.service === service)
            .filter(upstream => this.breakage === "ignores-draining" || !this.draining.has(upstream));
        const upstream = candidates[this.requestCount++ % candidates.length]!;
        return new Promise(resolve => {
            const request = sendRequest({
                ...upstream.announcement.address,
                agent: false,
                method: "POST",
                path: call.path,
                headers: {
                    [wireHeaders.requestId]: call.id,
                    [wireHeaders.expectedUpstream]: upstream.id,
                    ...this.teamHeadersOf(call),
                },
            }, response => {
                void readText(response).catch(() => "").then(text =>
                    resolve({ statusCode: response.statusCode ?? 0, text })
                );
            });
            request.on("error", (error: NodeJS.ErrnoException) => {
                this.crashes += call.body === crashingRequest.body && error.code === "ECONNRESET" ? 1 : 0;
                resolve({ statusCode: 502, text: "" });
            });
            request.end(call.body);
        });
    }

    private teamHeadersOf({ owner }: Run): { [name: string]: string; } {
        if (owner === undefined) {
            return {};
        }
        const team = this.breakage === "mixes-teams" ? "other" : owner.team;
        const key = this.breakage === "passes-keys" ? { [wireHeaders.key]: owner.key } : undefined;
        return { [wireHeaders.team]: team, ...key };
    }
}

function isSubmission(path: string): boolean {
    return jobRoutes.some(({ name }) => path.startsWith(`/${name}/`));
}

async function readText(message: IncomingMessage): Promise<string> {
    return (await readBody(message)).toString("utf8");
}

/** Whether an item of a submission has a header that can't be sent. */
function hasInvalidHeaders(body: string): boolean {
    const { items } = JSON.parse(body) as { items: WireItem[]; };
    return items.flatMap(({ headers }) => Object.entries(headers)).some(([name, value]) =>
        !/^[\w!#$%&'*+.^`|~-]+$/u.test(name) || !/^[\t -~\u00e9]*$/u.test(value) || value.length > MAX_HEADER_BYTES
    );
}
