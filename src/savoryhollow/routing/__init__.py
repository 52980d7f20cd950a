"""Choose an endpoint for each request, send the request and handle failures."""
