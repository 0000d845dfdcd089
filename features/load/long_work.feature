Feature: Load of work that takes longer than its objective

  # After slow first responses a host refused all requests of the route for
  # good: only a response could have corrected its estimate.
  Scenario: Requests are served late while the estimate exceeds the objective
    Given a host whose first responses took longer than the objective
    When a request with 4 s left is to be placed on a free target
    Then it is placed
