const MIN_STATUS_CODE = 100;
const MAX_STATUS_CODE = 599;

/** Whether a response may have the status code (RFC 9110, section 15). */
export function isValidStatusCode(statusCode: number): boolean {
    return statusCode >= MIN_STATUS_CODE && statusCode <= MAX_STATUS_CODE;
}
