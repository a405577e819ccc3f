// Starts the project's own programs as processes, with the commands of the deploy file, on loopback addresses.
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { pause } from "./replicaStandin.mjs";
import { StoreStandin } from "./storeStandin.mjs";

const ROOT = path.resolve(import.meta.dirname, "../..");
const FRONT_PORT = 8144;
const READY_PORT = 8140;
const CONTROL_PORT = 8146;
const PORT_RANGE = [7660, 7675];
const READY_WITHIN_MS = 20_000;
const RESTART_MS = 300;
const LOG_LINES = 5;

/** The command of a role in the deploy file. */
function commandOf(role) {
    const text = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    return /^run = "(.*)"$/mu.exec(section)[1].split(" ");
}

/** Returns the second byte of loopback addresses on which the ports of a node are free. */
async function findSubnet() {
    for (;;) {
        const subnet = 20 + Math.floor(Math.random() * 200);
        const isFree = await new Promise(resolve => {
            const probe = createServer();
            probe.once("error", () => resolve(false));
            probe.listen(FRONT_PORT, `127.${subnet}.1.1`, () => probe.close(() => resolve(true)));
        });
        if (isFree) {
            return subnet;
        }
    }
}

export class Fleet {
    /** Creates the store and the settings of the nodes; starts nothing. */
    static async create({ gateways = 2, runners = 3, bounds = {}, platform = {}, record }) {
        const fleet = new Fleet();
        fleet.record = record;
        fleet.subnet = await findSubnet();
        fleet.folder = mkdtempSync(path.join(tmpdir(), "knapweed-review-"));
        fleet.store = new StoreStandin(`127.${fleet.subnet}.4.1`);
        fleet.opts = { bounds, platform };
        fleet.gateways = [];
        fleet.runners = [];
        fleet.replicas = [];
        for (let index = 0; index < gateways; index += 1) {
            fleet.gateways.push(await fleet.createNode("gateway", index));
        }
        for (let index = 0; index < runners; index += 1) {
            fleet.runners.push(await fleet.createNode("runner", index));
        }
        return fleet;
    }

    get nodes() {
        return [...this.gateways, ...this.runners];
    }

    get nodeNames() {
        return this.nodes.map(({ name }) => name);
    }

    async createNode(role, index) {
        const isGateway = role === "gateway";
        const ip = `127.${this.subnet}.${isGateway ? 1 : 2}.${index + 1}`;
        const name = `${isGateway ? "front" : "storage"}-${index + 1}`;
        const folder = path.join(this.folder, name);
        const dataDir = path.join(folder, "data");
        mkdirSync(dataDir, { recursive: true });
        const storePort = await this.store.listenFor(name);
        return { role, name, ip, zone: `z-${"abc"[index % 3]}`, folder, dataDir, storePort, isBootstrap: true };
    }

    settingsOf({ role, name, ip, zone, dataDir, storePort, isBootstrap }) {
        const isGateway = role === "gateway";
        const bounds = {
            seedLagS: 3,
            reuseAfterS: 2,
            contactMs: 3000,
            ackMs: 4000,
            catchUpS: 4.6,
            drainMs: 2000,
            graceS: 8,
            lossSlackMs: 200,
            configMs: 2000,
            downgradeSlackMs: 250,
            maxSkewMs: 5000,
            recoverS: 12,
            passMs: 120,
            retryAfterS: 0,
            finishS: 18,
            statusS: 120,
            cancelMs: 3000,
            settleMs: 1000,
            quotaOver: 0.1,
            ...this.opts.bounds,
        };
        const platform = {
            form: "kv",
            writesPerS: 400,
            readsPerS: 2000,
            historyS: 20,
            valueBytes: 1_048_576,
            ttlMinMs: 1000,
            ...this.opts.platform,
        };
        const seeds = [1, 2, 3].map(number => `"127.${this.subnet}.2.${number}:${CONTROL_PORT}"`).join(",");
        const table = entries => Object.entries(entries).map(([key, value]) => `${key} = ${JSON.stringify(value)}`);
        return [
            `nodeName = "${name}"`,
            `role = "${role}"`,
            `machineClass = "${isGateway ? "front" : "storage"}"`,
            `serves = ${isGateway ? '["front"]' : '["storage","control"]'}`,
            `ip = "${ip}"`,
            `zone = "${zone}"`,
            'region = "r"',
            `portRange = [${PORT_RANGE.join(",")}]`,
            `seeds = [${seeds}]`,
            `bootstrap = ${isBootstrap}`,
            `inTolerance = ${!isGateway}`,
            'discovery = "platform"',
            'entry = "virtual_ip"',
            "heartbeatMs = 1200",
            ...isGateway ? [] : [`dataDir = "${dataDir}"`],
            "[zones]",
            'z-a = "r"',
            'z-b = "r"',
            'z-c = "r"',
            "[listen]",
            ...isGateway
                ? [`front = "${ip}:${FRONT_PORT}"`, `ready = "${ip}:${READY_PORT}"`]
                : [`control = "${ip}:${CONTROL_PORT}"`],
            "[limits]",
            "cores = 1",
            `memoryMb = ${isGateway ? 350 : 380}`,
            "maxFds = 4100",
            "[faultTolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            ...table(bounds),
            "[platform]",
            `address = "127.${this.subnet}.4.1:${storePort}"`,
            ...table(platform),
            "",
        ].join("\n");
    }

    startNode(node) {
        const settingsFile = path.join(node.folder, "boot.toml");
        writeFileSync(settingsFile, this.settingsOf(node));
        node.isBootstrap = false;
        const [program, ...args] = commandOf(node.role);
        const child = spawn(program, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, KNAPWEEDWOOD_BOOT: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const output = createWriteStream(path.join(node.folder, "output.log"), { flags: "a" });
        child.stdout.pipe(output, { end: false });
        child.stderr.pipe(output, { end: false });
        node.child = child;
        node.isEnding = false;
        child.on("exit", (code, signal) => {
            const isUnexpected = node.child === child && !node.isEnding;
            if (node.child === child) {
                node.child = undefined;
            }
            this.record.note(`${node.name} ended: ${code ?? signal}`);
            // The platform restarts a process that exits.
            if (isUnexpected) {
                const lastLines = this.logOf(node).trim().split("\n").slice(-LOG_LINES).join("\n");
                this.record.note(`${node.name} wasn't asked to end; its last lines:\n${lastLines}`);
                setTimeout(() => !this.isClosed && node.child === undefined && this.startNode(node), RESTART_MS);
            }
        });
    }

    /** Sends SIGKILL and resolves when the process has ended. */
    async kill(node) {
        const { child } = node;
        if (child !== undefined) {
            const exited = new Promise(resolve => child.once("exit", resolve));
            node.isEnding = true;
            child.kill("SIGKILL");
            await exited;
        }
    }

    signal(node, name) {
        node.child?.kill(name);
    }

    wipeDisk(node) {
        rmSync(node.dataDir, { recursive: true, force: true });
        mkdirSync(node.dataDir);
    }

    /** Names of the files on the disk of a node. */
    filesOf(node) {
        return readdirSync(node.dataDir, { recursive: true, withFileTypes: true })
            .filter(entry => entry.isFile())
            .map(entry => entry.name);
    }

    logOf(node) {
        return readFileSync(path.join(node.folder, "output.log"), "utf8");
    }

    /** Starts all nodes and resolves when the gateways are ready. Throws if they aren't in time. */
    async start() {
        this.nodes.forEach(node => this.startNode(node));
        await this.whenReady();
    }

    async whenReady() {
        const endsAtMs = Date.now() + READY_WITHIN_MS;
        for (const node of this.gateways) {
            while (await this.readiness(node) !== 200) {
                if (Date.now() > endsAtMs) {
                    throw new Error(`${node.name} isn't ready`);
                }
                await pause(50);
            }
        }
    }

    async readiness(node) {
        const answer = await send({ ip: node.ip, port: READY_PORT, path: "/api/ready" });
        return answer.status;
    }

    /** Sends a request to a gateway on a new connection. */
    call(node, opts) {
        return send({ ip: node.ip, port: FRONT_PORT, ...opts });
    }

    /** Ends all processes and stand-ins. */
    async close() {
        this.isClosed = true;
        await Promise.all(this.nodes.map(node => this.kill(node)));
        this.replicas.forEach(replica => replica.close());
        this.store.close();
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** Sends a request and resolves with its answer; with the code of the failure if there is none. */
export function send({ ip, port, method = "GET", path: target, host, headers = {}, body, timeoutMs = 6000 }) {
    return new Promise(resolve => {
        const sentAtMs = Date.now();
        const request = httpRequest({
            host: ip,
            port,
            method,
            path: target,
            headers: { ...host === undefined ? {} : { host }, ...headers },
            agent: false,
            timeout: timeoutMs,
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            const finish = isComplete =>
                resolve({
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                    isComplete,
                    sentAtMs,
                    answeredAtMs: Date.now(),
                });
            response.on("end", () => finish(response.complete));
            response.on("error", () => finish(false));
        });
        request.on("timeout", () => request.destroy(new Error("timeout")));
        request.on(
            "error",
            error => resolve({ error: error.code ?? error.message, sentAtMs, answeredAtMs: Date.now() }),
        );
        request.end(body);
    });
}
